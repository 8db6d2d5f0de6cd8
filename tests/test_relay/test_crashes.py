from __future__ import annotations

import time

import attrs
import gevent
import pytest

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.messages.grants import Ask
from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from pistachiopath.quarantine import trials
from pistachiopath.quarantine.content import shared_parts
from pistachiopath.quarantine.crash_watch import RETENTION_S
from pistachiopath.relay import work as work_module
from pistachiopath.relay.ended import Delivered
from tests.harness.waiting import let_pass
from tests.test_directory.records import record
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, Paused, ScriptedTarget

from .parts import (
    IDEMPOTENT,
    RESUMABLE,
    FakeEntry,
    GrantingGate,
    answer,
    chunk,
    events,
    serve,
    stream_head,
)


class SlowGate(GrantingGate):
    """Calls `before_grant` before each place that it grants."""

    def __init__(self, before_grant):
        super().__init__()
        self._before_grant = before_grant

    def _send(self, to, call, body):
        if isinstance(body, Ask):
            self._before_grant()
        super()._send(to, call, body)


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
    let_pass(0.01)
    with pytest.raises(TurnedAway):
        serve([gone], IDEMPOTENT, attempts=1, crashes=entry.crashes)
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
    # The report of a second crash arrives after the request was sent.
    body = attrs.evolve(
        entry.sent_marks[0], marks=(attrs.evolve(marks[0], lifetime='x', ran_ms=0),)
    )
    time.sleep(0.01)
    gevent.spawn(entry.crashes.handle_marks, body, time.monotonic())
    caller, _ = serve([target, spare], IDEMPOTENT, crashes=entry.crashes)
    assert caller.status == 502
    assert len(target.requests) == 1
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


def quarantine_part(entry, part='bad'):
    """Let three replicas crash under requests that share a part."""
    (content,) = shared_parts('', [part, 'last'])
    now = time.monotonic()
    marks = [
        CrashMark(
            fingerprint=content.key,
            lifetime=f'x{n}',
            age_ms=1000 * n,
            ran_ms=10,
            depth=content.depth,
        )
        for n in (1, 2, 3)
    ]
    entry.crashes.handle_marks(CrashMarks(marks=tuple(marks)), now)
    return content.key


def test_an_entry_connects_to_a_replica_that_broke_off_and_knows_at_once():
    entry = FakeEntry(['r0'], refuses=True)
    break_off(entry)
    let_pass(0.0)
    assert [len(body.marks) for body in entry.sent_marks] == [1]


def test_a_crash_that_another_entry_reports_counts_for_the_own_broken_run():
    entry = FakeEntry(['r0'])
    break_off(entry)
    lifetime = entry.watch.pending()[0]
    mark = CrashMark(fingerprint=b'other', lifetime=lifetime, age_ms=1, ran_ms=9)
    entry.crashes.handle_marks(CrashMarks(marks=(mark,)), time.monotonic())
    assert [len(body.marks) for body in entry.sent_marks] == [1]
    assert entry.watch.pending() == ()


def test_a_request_with_a_part_in_quarantine_is_refused_with_when_to_come_back():
    entry = FakeEntry([])
    quarantine_part(entry)
    target = ScriptedTarget([answer()])
    with pytest.raises(TurnedAway) as caught:
        serve([target], IDEMPOTENT, crashes=entry.crashes, parts=('a', 'bad', 'last'))
    assert caught.value.status == 503
    assert caught.value.reason == 'quarantined_part'
    assert 20.0 < caught.value.retry_after_s < 70.0
    assert target.requests == []


def test_requests_without_the_part_in_quarantine_are_served():
    entry = FakeEntry([])
    quarantine_part(entry)
    for parts in ((), ('a', 'last'), ('a', 'bad')):
        target = ScriptedTarget([answer()])
        caller, _ = serve([target], IDEMPOTENT, crashes=entry.crashes, parts=parts)
        assert caller.status == 200


def test_a_part_that_is_quarantined_during_the_wait_for_a_place_is_not_sent():
    entry = FakeEntry([])
    target = ScriptedTarget([answer()])
    gate = SlowGate(lambda: quarantine_part(entry))
    with pytest.raises(TurnedAway) as caught:
        serve(
            [target],
            IDEMPOTENT,
            crashes=entry.crashes,
            parts=('bad', 'last'),
            gate=gate,
        )
    assert caught.value.reason == 'quarantined_part'
    assert target.requests == []


def test_a_stream_that_broke_off_under_a_quarantined_part_is_not_resumed():
    entry = FakeEntry(['r0'])
    target = ScriptedTarget([stream_head() + chunk(events(0, 1)), RESET])
    spare = ScriptedTarget([stream_head() + chunk(events(2, 3)) + b'0\r\n\r\n'])
    gevent.spawn(quarantine_part, entry)
    caller, work = serve(
        [target, spare],
        RESUMABLE,
        stream=True,
        crashes=entry.crashes,
        parts=('bad', 'last'),
    )
    assert not caller.finished
    assert caller.body == events(0, 1)
    assert work.outcome == 'broken_off'
    assert spare.requests == []


def test_one_request_tries_a_part_in_quarantine_when_its_time_has_come(monkeypatch):
    monkeypatch.setattr(trials, 'FIRST_TRIAL_S', 0.0)
    entry = FakeEntry([])
    key = quarantine_part(entry)
    target = ScriptedTarget([answer()])
    caller, _ = serve([target], IDEMPOTENT, crashes=entry.crashes, parts=('bad', 'z'))
    assert caller.status == 200
    assert [t.key for body in entry.sent_marks for t in body.trials] == [key]
    assert entry.sent_marks[-1].cleared == (key,)


def test_a_part_is_not_tried_while_no_other_entry_would_hear_of_it(monkeypatch):
    monkeypatch.setattr(trials, 'FIRST_TRIAL_S', 0.0)
    entry = FakeEntry([])
    entry.is_connected = False
    quarantine_part(entry)
    target = ScriptedTarget([answer()])
    with pytest.raises(TurnedAway):
        serve([target], IDEMPOTENT, crashes=entry.crashes, parts=('bad', 'z'))
    assert target.requests == []


def test_a_body_is_hashed_once_however_often_its_request_is_checked(monkeypatch):
    entry = FakeEntry(['r0'])
    quarantine_part(entry)
    work = break_off(entry)
    monkeypatch.setattr(work_module, 'fingerprint', None)
    assert not entry.crashes.is_quarantined(work, time.monotonic())


def test_a_whole_request_whose_quarantine_is_over_is_sent_without_a_trial():
    entry = FakeEntry(['r0', 's0'])
    crash_replica(entry, 'r')
    work = crash_replica(entry, 's')
    over_at = time.monotonic() + RETENTION_S + 1.0
    entry.is_connected = False
    entry.sent_marks.clear()
    entry.crashes.check_send(work, over_at)
    assert entry.sent_marks == []


LIVED_S = 1.05


def cut_stream(entry, prefix, *, pause_s=LIVED_S):
    """Let a replica write events for a while, then end with all its connections."""
    first = stream_head() + chunk(events(1, 1))
    target = ScriptedTarget([Paused(first, pause_s, chunk(events(2, 2))), RESET])
    _, work = serve(
        [target],
        RESUMABLE,
        stream=True,
        attempts=1,
        crashes=entry.crashes,
        prefix=prefix,
    )
    entry.silent.add(f'{prefix}0')
    entry.crashes.tick(time.monotonic())
    entry.silent.clear()
    return work


def test_a_stream_that_two_crashes_cut_midway_is_served_again():
    # Regression: two unrelated crashes under one long stream put it into
    # quarantine for ten minutes, though it had run well for seconds.
    entry = FakeEntry(['r0', 's0'])
    for prefix in 'rs':
        work = cut_stream(entry, prefix)
    assert not entry.crashes.is_quarantined(work, time.monotonic())
    entry.crashes.check(work, time.monotonic())


def test_a_run_that_lived_clears_an_earlier_crash_at_its_beginning():
    # The first crash came as the stream began, the second one under a run of seconds.
    entry = FakeEntry(['r0', 's0', 't0'])
    crash_replica(entry, 'r')
    cut_stream(entry, 's')
    work = crash_replica(entry, 't')
    assert not entry.crashes.is_quarantined(work, time.monotonic())


def test_streams_that_crash_replicas_as_they_begin_are_still_quarantined():
    entry = FakeEntry(['r0', 's0'])
    for prefix in 'rs':
        work = cut_stream(entry, prefix, pause_s=0.05)
    assert entry.crashes.is_quarantined(work, time.monotonic())


def test_a_planned_leave_is_no_crash():
    # Regression: a replica that ended with work in progress counted as crashed.
    entry = FakeEntry(['r0', 's0'])
    for prefix in 'rs':
        leaving = record(replica=f'{prefix}0', sequence=5, state='draining')
        entry.directory.merge(leaving, 0.0)
        work = crash_replica(entry, prefix)
    assert entry.sent_marks == []
    assert not entry.crashes.is_quarantined(work, time.monotonic())


def test_a_request_that_others_run_well_is_refused_after_two_restarts_of_replicas():
    entry = FakeEntry(['q0', 'r0', 's0'])
    serve(
        [ScriptedTarget([answer()])],
        IDEMPOTENT,
        attempts=1,
        crashes=entry.crashes,
        prefix='q',
    )
    for prefix in 'rs':
        work = crash_replica(entry, prefix)
    assert not entry.crashes.is_quarantined(work, time.monotonic())
