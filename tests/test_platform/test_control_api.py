from __future__ import annotations

import copy
import json
import logging
import time
from urllib.parse import quote

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.replica_state import ReplicaState
from pistachiopath.exchange.request import HttpRequest
from pistachiopath.messages.directory import Follow
from pistachiopath.messages.envelope import Envelope
from pistachiopath.platform import names
from pistachiopath.platform.control_api import ControlApi
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.codec import encode

from .test_configuration import VALID
from .test_configuration import encode as encode_document

NOW = 5.0
HUGE = 10**400
DIGITS_4000 = '9' * 4000
HALF_PAIR = '\ud800'
MINUTE_MS = 60_000


class AnnouncingShell:
    """A control node with one follower and one peer, which encodes its messages."""

    def __init__(self):
        self.announcer = Announcer(
            address='10.0.0.1:1', feed=1, silent_after_s=9.0, now=NOW
        )
        for sender, is_entry in (('10.0.0.2:1', True), ('10.0.0.3:1', False)):
            body = Follow(version=0, feed=0, since=0, is_entry=is_entry)
            self.announcer.follow(sender, body, NOW)

    def announce(self, record):
        self._send(self.announcer.announce(record, NOW))

    def depart(self, replica, *, born_ms=0):
        self._send(self.announcer.depart(replica, NOW, born_ms=born_ms))

    def state(self, replica):
        record = self.announcer.directory.get(replica)
        return record.state if record else None

    @staticmethod
    def _send(effects):
        for effect in effects:
            encode(Envelope(call=effect.call, body=effect.body))


class Answer:
    """Takes the place of a connection."""

    status = 0

    def respond(self, status, headers, body):
        self.status = status


class Node:
    """A control node's API, called without a network."""

    def __init__(self):
        self.shell = AnnouncingShell()
        self.metrics = Metrics()
        self._api = ControlApi(shell=self.shell, metrics=self.metrics)

    def call(self, method, quoted_id, body=b'', path=names.REPLICAS_PATH):
        conn = Answer()
        path += quoted_id
        self._api.handle(
            conn,
            HttpRequest(method=method, target=path.encode(), headers=[], body=body),
        )
        return conn.status

    def put(self, quoted_id='odd', **changes):
        return self.call(b'PUT', quoted_id, announcement(**changes))


def announcement(**changes):
    fields = {
        'backend': 'model',
        'address': '10.0.0.9:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 5,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': 4,
        'born': now_ms() - MINUTE_MS,
    }
    return json.dumps(fields | changes).encode()


def now_ms():
    return int(time.time() * 1000)


ODD_FIELDS = [
    {'sequence': 2**63},
    {'sequence': 2**70},
    {'sequence': -1},
    {'sequence': HUGE},
    {'slots': 2**63},
    {'slots': 0},
    {'slots': -5},
    {'slots': 10**15},
    {'born': 2**63},
    {'born': HUGE},
    {'born': -(2**70)},
    {'born': 32503680000000},
    {'warmup_left_ms': HUGE},
    {'warmup_left_ms': 1e300},
    {'warmup_left_ms': -1},
    {'warmup_left_ms': float('nan')},
    {'warmup_left_ms': float('inf')},
    {'zone': HALF_PAIR},
    {'zone': 'z' * 1_000_000},
    {'zone': 'a\nb'},
    {'backend': HALF_PAIR},
    {'backend': 'a\0b'},
    {'address': 'fe80::1%' + 'a' * 100 + ':80'},
    {'address': '[[10.0.0.9]]:80'},
    {'address': '10.0.0.9:' + DIGITS_4000},
    {'address': '10.0.0.9:65536'},
]
ODD_BODIES = [
    b'',
    b'\xff',
    b'{"sequence":' + b'9' * 5000 + b'}',
    b'[' * 100_000,
    announcement()[:-3],
    b'[' + announcement() + b']',
    announcement().ljust(1_000_000),
]
ODD_IDS = [
    '',
    '%20r',
    'r%20',
    'r%0d%0aX',
    '%00',
    '%7f',
    '%c2%85',
    '%ed%a0%80',
    '%ff',
    quote('x' * 100_000),
]


@pytest.mark.parametrize('changes', ODD_FIELDS, ids=lambda c: str(c)[:40])
def test_an_odd_announcement_is_refused_and_the_others_hold(
    changes,
):
    node = Node()
    assert node.put('live') == 200
    assert node.put('odd', **changes) == 400
    assert node.shell.state('odd') is None
    assert node.put('live', sequence=5) == 200
    assert node.put('other', address='10.0.0.8:80') == 200
    assert node.shell.state('live') == ReplicaState.READY
    assert node.call(b'DELETE', 'live') == 200
    assert node.shell.state('live') == ReplicaState.GONE


def test_a_late_departure_of_an_earlier_lifetime_does_not_end_the_later_one():
    node = Node()
    assert node.put('live', born=2000) == 200
    assert node.call(b'DELETE', 'live', announcement(born=1000)) == 200
    assert node.shell.state('live') == ReplicaState.READY
    assert node.call(b'DELETE', 'live', announcement(born=2000)) == 200
    assert node.shell.state('live') == ReplicaState.GONE


@pytest.mark.parametrize('body', [b'', b'{}', b'[]', b'{"born":"1"}', b'{"born":-1}'])
def test_a_departure_that_names_no_lifetime_ends_the_one_that_is_known(body):
    node = Node()
    assert node.put('live', born=2000) == 200
    assert node.call(b'DELETE', 'live', body) == 200
    assert node.shell.state('live') == ReplicaState.GONE


@pytest.mark.parametrize('body', ODD_BODIES, ids=lambda b: str(b[:20]))
def test_an_unreadable_announcement_is_refused(body):
    node = Node()
    assert node.call(b'PUT', 'odd', body) == 400
    assert node.put('live') == 200


@pytest.mark.parametrize('quoted_id', ODD_IDS, ids=lambda i: i[:20] or 'empty')
@pytest.mark.parametrize('method', [b'PUT', b'DELETE'])
def test_an_id_that_a_header_cannot_carry_is_refused(method, quoted_id):
    node = Node()
    assert node.put('live') == 200
    assert node.call(method, quoted_id, announcement()) == 400
    assert len(node.shell.announcer.directory) == 1


@pytest.mark.parametrize('ahead_ms', [0, 5_000, 30_000])
def test_a_replica_whose_clock_is_some_seconds_ahead_is_accepted(ahead_ms):
    node = Node()
    assert node.put('live', born=now_ms() + ahead_ms) == 200
    assert node.shell.state('live') == ReplicaState.READY


@pytest.mark.parametrize('ahead_ms', [10 * MINUTE_MS, 24 * 60 * MINUTE_MS])
def test_a_start_in_the_future_does_not_end_a_live_replica(ahead_ms):
    node = Node()
    assert node.put('live') == 200
    assert node.put('odd', born=now_ms() + ahead_ms) == 400
    assert node.shell.state('live') == ReplicaState.READY


def test_a_refusal_is_counted_and_logged_in_a_short_line(caplog):
    node = Node()
    with caplog.at_level(logging.WARNING):
        assert node.put('x' * 10_000, zone='z' * 1_000_000) == 400
        assert node.put('r', zone=HALF_PAIR) == 400
    refused = [r for r in caplog.records if r.msg == 'announcement_refused']
    assert [r.reason for r in refused] == [
        'replica: too_long',
        'announcement.zone: surrogate',
    ]
    assert all(len(str(vars(r))) < 2000 for r in refused)
    assert refused[1].replica == 'r'
    text = node.metrics.render()
    assert 'announcements_refused_total{reason="too_long"} 1' in text
    assert 'announcements_refused_total{reason="surrogate"} 1' in text


def test_unknown_methods_do_not_add_metrics():
    node = Node()
    for number in range(50):
        assert node.call(b'X%d' % number, 'r') == 405
    assert node.metrics.render().count('calls_total') == 1


def test_a_refused_configuration_is_logged_in_a_short_line(caplog):
    node = Node()
    document = copy.deepcopy(VALID)
    document['routes'][0].update(name='r' * 4000, timeout_ms=0)
    path = names.CONFIGURATION_PATH
    assert node.call(b'PUT', '', encode_document(document), path=path) == 400
    (line,) = caplog.records
    assert len(line.reason) < 200
    assert line.reason.endswith(': no_timeout')


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**63 - 1, 2**63, 2**70, HUGE, -1, -(2**63) - 1, 10**15])
    | st.floats()
    | st.text(alphabet=st.characters(), max_size=5)
    | st.text(alphabet=st.characters(categories=['Cs', 'Cc']), max_size=2),
    lambda values: st.lists(values, max_size=2),
    max_leaves=3,
)
FIELD_NAMES = st.sampled_from(sorted(json.loads(announcement())))


@given(st.dictionaries(FIELD_NAMES, JSON_VALUES, max_size=2), st.binary(max_size=6))
def test_any_announcement_is_refused_or_can_be_sent(changes, raw_id):
    node = Node()
    quoted_id = quote(raw_id)
    status = node.put(quoted_id, **changes)
    assert status in (200, 400)
    if status == 200:
        (record,) = node.shell.announcer.directory.records()
        header = (names.REPLICA_EXPECTED, record.replica.encode())
        assert h11.Request(method='GET', target='/', headers=[(b'host', b'h'), header])
    assert node.call(b'DELETE', quoted_id) in (200, 400)


@given(st.binary(max_size=60))
def test_any_body_is_answered(body):
    assert Node().call(b'PUT', 'odd', body) == 400
