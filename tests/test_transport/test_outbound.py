from __future__ import annotations

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.messages.allowance import Borrow, CustomerUse, UseReport
from pistachiopath.messages.directory import Announcements, News
from pistachiopath.messages.document import PutDocument
from pistachiopath.messages.quarantine import CrashMarks
from pistachiopath.messages.replication import Append, Entry
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.codec import decode
from pistachiopath.transport.frames import MAX_FRAME_BYTES
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.transport.outbound import OutboundEncoder
from pistachiopath.util.loop_failures import LoopFailures
from tests.test_directory.records import record

PEER = '10.0.0.2:1'
ODD_RECORDS = [
    record(replica='odd', sequence=2**63),
    record(replica='odd', sequence=2**70),
    record(replica='odd', born_ms=-(2**70)),
    record(replica='odd', slots=10**400),
    record(replica='odd', warmup_ms=1e300),
    record(replica='odd', zone='\ud800'),
    record(replica='\udc00'),
    record(replica='odd', service=None),
    record(replica='odd', state=7),
]


def sent(body):
    """Return the message that a peer receives, or None, and the encoder."""
    encoder = OutboundEncoder()
    payload = encoder.encode(PEER, 3, body)
    return (None if payload is None else decode(payload).body), encoder


def news(**changes):
    fields = {
        'feed': 1,
        'change': 2,
        'version': 3,
        'content': b'{}',
        'records': (record(),),
        'controls': ('10.0.0.1:1',),
        'entries': 1,
        'silent': ('r1',),
    }
    return News(**fields | changes)


@pytest.mark.parametrize('odd', ODD_RECORDS, ids=repr)
def test_a_record_that_cannot_be_sent_is_left_out_by_itself(odd):
    good = (record(), record(replica='r2'))
    body, encoder = sent(Announcements(records=(good[0], odd, good[1])))
    assert body == Announcements(records=good)
    body, encoder = sent(news(records=(odd, *good, odd)))
    assert body == news(records=good)
    assert (encoder.left_out, encoder.unsent) == (2, 0)


def test_other_lists_of_independent_items_lose_the_odd_one_alone():
    body, _ = sent(news(silent=('r1', '\ud800', 'r2')))
    assert body == news(silent=('r1', 'r2'))
    uses = (CustomerUse(customer='a', total=1), CustomerUse(customer='b', total=2**64))
    body, _ = sent(UseReport(session=1, uses=uses))
    assert body.uses == uses[:1]
    body, _ = sent(CrashMarks(cleared=(b'k', 'text\ud800')))
    assert body.cleared == (b'k',)


@pytest.mark.parametrize(
    'body',
    [
        Borrow(customer='a', cost=2**63),
        Borrow(customer='\ud800', cost=1),
        news(version=2**63),
        news(version=2**70, records=(ODD_RECORDS[0],)),
        PutDocument(version=1, content=bytes(MAX_FRAME_BYTES)),
    ],
    ids=lambda body: type(body).__name__,
)
def test_a_message_that_cannot_be_sent_is_dropped_and_logged(body, caplog):
    with caplog.at_level(logging.ERROR):
        received, encoder = sent(body)
    assert received is None
    assert encoder.unsent == 1
    (line,) = [r for r in caplog.records if r.msg == 'message_not_sent']
    assert (line.peer, line.type) == (PEER, type(body).__name__)
    assert len(line.error) < 300


def test_no_record_is_left_out_of_a_replicated_log():
    entries = tuple(
        Entry(index=index, term=term, kind='noop', time_ms=0)
        for index, term in ((1, 1), (2, 2**63), (3, 1))
    )
    body = Append(
        to_member='m',
        term=1,
        round=1,
        previous_index=0,
        previous_term=0,
        commit=0,
        entries=entries,
    )
    assert sent(body)[0] is None


def test_a_failure_that_repeats_is_logged_once_a_second(caplog):
    encoder = OutboundEncoder()
    with caplog.at_level(logging.ERROR):
        for _ in range(50):
            encoder.encode(PEER, 0, Borrow(customer='a', cost=2**63))
    assert encoder.unsent == 50
    assert len(caplog.records) == 1


@pytest.mark.parametrize('odd', ODD_RECORDS, ids=repr)
def test_a_greenlet_that_sends_what_cannot_be_encoded_goes_on(odd):
    identity = Identity(name='10.0.0.1:1', role=ROLE_NODE, secrets={ROLE_NODE: b's'})
    network = Network(
        identity=identity,
        on_message=lambda *_: None,
        on_lost=lambda _: None,
        failures=LoopFailures(metrics=Metrics()),
    )
    network.send('not-linked', 0, Announcements(records=(odd,)))
    network.send('not-linked', 0, Borrow(customer='a', cost=2**63))
    assert network.sent_messages == 1


VALUES = st.one_of(
    st.integers(),
    st.sampled_from([2**63, -(2**63) - 1, 10**400]),
    st.floats(),
    st.none(),
    st.text(alphabet=st.characters(), max_size=4),
    st.text(alphabet=st.characters(categories=['Cs']), max_size=2),
    st.binary(max_size=4),
)
FIELDS = st.sampled_from(['replica', 'born_ms', 'zone', 'slots', 'state', 'warmup_ms'])


@given(st.lists(st.dictionaries(FIELDS, VALUES, max_size=2), max_size=4))
def test_any_values_are_sent_or_left_out(changes):
    odd = tuple(record(**change) for change in changes)
    encoder = OutboundEncoder()
    payload = encoder.encode(PEER, 0, Announcements(records=(record(), *odd)))
    assert payload is not None
    assert encoder.left_out <= len(odd)
