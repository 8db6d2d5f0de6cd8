from __future__ import annotations

import time

import attrs
import gevent
import pytest

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.relay.ended import Delivered
from tests.test_directory.records import record
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, ScriptedTarget

from .parts import IDEMPOTENT, FakeEntry, answer, serve

BROKEN = {'reset': RESET, 'closed': CLOSE}


def break_off(entry, prefix='r', how=RESET):
    """Let replica `<prefix>0` break off a run; return the work."""
    target = ScriptedTarget([b'', how])
    _, work = serve(
        [target], IDEMPOTENT, attempts=1, crashes=entry.crashes, prefix=prefix
    )
    return work


def crash_replica(entry, prefix='r'):
    """Break off a run at a replica that then falls silent; return the work."""
    work = break_off(entry, prefix)
    entry.silent.add(f'{prefix}0')
    entry.crashes.tick(time.monotonic())
    entry.silent.clear()
    return work


@pytest.mark.parametrize('how', BROKEN)
def test_a_run_broken_off_by_a_replica_that_becomes_silent_is_marked(how):
    entry = FakeEntry(['r0'])
    break_off(entry, how=BROKEN[how])
    entry.crashes.tick(time.monotonic())
    assert entry.sent_marks == []
    entry.silent.add('r0')
    entry.crashes.tick(time.monotonic())
    assert [len(body.marks) for body in entry.sent_marks] == [1]
    entry.crashes.tick(time.monotonic())
    assert len(entry.sent_marks) == 1


def test_a_later_lifetime_is_also_evidence_of_a_crash():
    entry = FakeEntry(['r0'])
    break_off(entry)
    later = attrs.evolve(record(replica='r0'), born_ms=10**15)
    entry.directory.merge(later, 0.0)
    entry.crashes.tick(time.monotonic())
    assert len(entry.sent_marks) == 1


def test_a_replica_that_refuses_connections_has_crashed():
    entry = FakeEntry(['r0'])
    break_off(entry)
    gone = ScriptedTarget()
    gevent.sleep(0.01)
    with pytest.raises(TurnedAway):
        serve([gone], IDEMPOTENT, attempts=1, wait_s=0.3, crashes=entry.crashes)
    assert len(entry.sent_marks) == 1


def test_a_stall_is_no_crash():
    entry = FakeEntry(['r0'])
    serve([ScriptedTarget([MUTE])], IDEMPOTENT, wait_s=0.2, crashes=entry.crashes)
    entry.silent.add('r0')
    entry.crashes.tick(time.monotonic())
    assert entry.sent_marks == []


def test_content_that_crashed_two_replicas_is_turned_away_at_all_entries():
    entry, other = FakeEntry(['r0', 's0']), FakeEntry([])
    first = crash_replica(entry, 'r')
    entry.crashes.check(first, time.monotonic())
    second = crash_replica(entry, 's')
    entry.crashes.broadcast_marks(time.monotonic())
    other.crashes.handle_marks(entry.sent_marks[-1], time.monotonic())
    for node in (entry, other):
        with pytest.raises(TurnedAway) as caught:
            node.crashes.check(second, time.monotonic())
        assert caught.value.status == 503
        assert caught.value.reason == 'quarantined'
        assert caught.value.retry_after_s > 500


def test_content_in_quarantine_is_not_sent_again():
    entry = FakeEntry(['r0'])
    crash_replica(entry)
    spare = ScriptedTarget([answer()])
    marks = entry.sent_marks[0].marks
    target = ScriptedTarget([b'', RESET])
    # As if the report of a second crash arrived after the entry had checked the
    # request: `serve` checks for quarantine only before it sends again.
    body = attrs.evolve(
        entry.sent_marks[0], marks=(attrs.evolve(marks[0], lifetime='x', ran_ms=0),)
    )
    time.sleep(0.01)
    entry.crashes.handle_marks(body, time.monotonic())
    caller, _ = serve([target, spare], IDEMPOTENT, crashes=entry.crashes)
    assert caller.status == 502
    assert spare.requests == []


def test_an_answer_clears_content_and_is_broadcast():
    entry = FakeEntry(['r0'])
    work = crash_replica(entry)
    entry.crashes.record_result(
        work, record(replica='r1'), Delivered(), time.monotonic()
    )
    assert entry.sent_marks[-1].cleared == (work.fingerprint,)
    assert not entry.watch.has_marks


def test_crash_marks_are_sent_again_for_entries_that_start():
    entry, late = FakeEntry(['r0']), FakeEntry([])
    crash_replica(entry)
    entry.crashes.broadcast_marks(time.monotonic())
    late.crashes.handle_marks(entry.sent_marks[-1], time.monotonic())
    assert late.watch.has_marks
