from __future__ import annotations

import time

import gevent
import pytest

from pistachiopath.grants.gate import GrantGate
from pistachiopath.lifetimes.stream_finder import StreamFinder
from pistachiopath.messages.grants import Ask
from pistachiopath.messages.streams import StreamOrigin, StreamOrigins
from tests.harness.failing import FailingMethod

GATES = ('g1', 'g2', 'g3')


def origin(version, attempt=1, *, is_confirmed=False, stream='c/a'):
    return StreamOrigin(
        stream=stream,
        service='model',
        software_version=version,
        attempt=attempt,
        is_confirmed=is_confirmed,
        age_ms=500,
    )


class Gates:
    """Gates that know the given origins and reply after the given times."""

    def __init__(self, known, delays=None, silent=()):
        self.known = known
        self.delays = delays or {}
        self.silent = silent
        self.asked = []
        self.finder = StreamFinder(send=self._send)

    def _send(self, gate, call, body):
        self.asked.append((gate, body.streams))
        if gate in self.silent:
            return
        found = [o for o in self.known.get(gate, ()) if o.stream in body.streams]
        reply = StreamOrigins(origins=tuple(found))
        gevent.spawn_later(
            self.delays.get(gate, 0.0), self.finder.receive, gate, call, reply
        )

    def find(self, stream='c/a', *, gates=GATES, is_complete=True, wait_s=1.0):
        return self.finder.find(
            stream,
            lambda: frozenset(gates),
            is_complete=lambda: is_complete,
            until=time.monotonic() + wait_s,
        )


def test_of_conflicting_attempts_the_later_one_counts_though_it_is_heard_last():
    known = {'g1': [origin('v1')], 'g2': [origin('v2', attempt=2)]}
    found = Gates(known, delays={'g2': 0.05}).find()
    assert found.version.version == 'v2'


def test_an_attempt_that_brought_an_event_counts_before_a_later_one_that_did_not():
    known = {
        'g1': [origin('v1', is_confirmed=True)],
        'g2': [origin('v2', attempt=2)],
    }
    assert Gates(known, delays={'g1': 0.05}).find().version.version == 'v1'


def test_a_gate_that_does_not_reply_does_not_keep_a_known_stream_waiting():
    gates = Gates({'g1': [origin('v1')]}, silent=('g3',))
    started_at = time.monotonic()
    assert gates.find(wait_s=5.0).version.version == 'v1'
    assert time.monotonic() - started_at < 1.0


def test_nobody_knows_once_all_gates_of_a_full_directory_have_replied():
    started_at = time.monotonic()
    assert Gates({}).find(wait_s=5.0) is None
    assert time.monotonic() - started_at < 1.0


def test_an_entry_whose_directory_still_grows_waits():
    started_at = time.monotonic()
    assert Gates({}).find(is_complete=False, wait_s=0.2) is None
    assert time.monotonic() - started_at >= 0.2


def test_a_lost_gate_is_not_waited_for():
    gates = Gates({}, silent=('g1',))
    gevent.spawn_later(0.05, gates.finder.handle_lost, 'g1')
    started_at = time.monotonic()
    assert gates.find(wait_s=5.0) is None
    assert time.monotonic() - started_at < 1.0


def test_an_unanswered_question_is_repeated():
    gates = Gates({'g1': [origin('v1')]}, silent=GATES)
    gevent.spawn_later(0.1, setattr, gates, 'silent', ())
    assert gates.find(gates=('g1',), wait_s=2.0).version.version == 'v1'


@pytest.mark.parametrize('pause_s', [0.5, 1.1])
def test_replies_are_not_missed_because_this_process_was_paused(pause_s):
    gates = Gates({'g1': [origin('v1', is_confirmed=True)]})
    gevent.spawn_later(0.002, time.sleep, pause_s)
    assert gates.find(wait_s=1.0).version.version == 'v1'


@pytest.mark.parametrize('number', [1, 40])
def test_streams_that_are_wanted_at_once_share_a_message_to_each_gate(number):
    names = [f'c/{n}' for n in range(number)]
    known = {'g1': [origin('v1', stream=name, is_confirmed=True) for name in names]}
    gates = Gates(known)
    searches = [gevent.spawn(gates.find, name) for name in names]
    versions = [search.get(timeout=5.0).version.version for search in searches]
    assert versions == ['v1'] * number
    assert len(gates.asked) == len(GATES)


def test_a_reply_from_another_gate_than_the_one_asked_is_ignored():
    gates = Gates({}, silent=GATES)
    forged = StreamOrigins(origins=(origin('v9', is_confirmed=True),))
    gevent.spawn_later(0.05, gates.finder.receive, 'g9', 1, forged)
    assert gates.find(wait_s=0.2) is None


def test_a_question_to_a_gate_of_an_older_build_does_not_ask_for_each_of_its_loads():
    sent = []
    finder = StreamFinder(send=lambda gate, call, body: sent.append(body))
    until = time.monotonic() + 0.05
    gates = frozenset({'g1'})
    finder.find('c/a', lambda: gates, is_complete=lambda: True, until=until)
    gate = GrantGate()
    gate.watch('e', sent[0], 0.0)
    updates = [
        effect
        for number in range(20)
        for effect in gate.ask('other', numbered_ask(number), 0.1 * number)
        if effect.to == 'e'
    ]
    assert updates == []


def numbered_ask(number):
    return Ask(
        request=str(number),
        tier=0,
        customer='c',
        prompt_tokens=10,
        output_tokens=10,
        objective_ms=1000,
        deadline_ms=5000,
        slots=30,
    )


def test_a_stream_is_found_after_a_batch_of_questions_has_failed():
    gates = Gates({'g1': [origin('v1')]})
    failing = FailingMethod(gates.finder, '_send')
    assert gates.find(gates=('g1',), wait_s=5.0).version.version == 'v1'
    assert failing.failed == 1
