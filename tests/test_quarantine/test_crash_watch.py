from __future__ import annotations

import random

import pytest

from pistachiopath.messages.quarantine import CrashMarks
from pistachiopath.quarantine.blame import PROVEN_REQUEST_CRASHES
from pistachiopath.quarantine.content import shared_parts
from pistachiopath.quarantine.crash_watch import (
    MAX_CONTENTS,
    MAX_MESSAGE_MARKS,
    RETENTION_S,
    CrashWatch,
)
from pistachiopath.quarantine.proven_contents import MAX_PROVEN
from pistachiopath.quarantine.unexplained_runs import EVIDENCE_S

GUILTY, OTHER = b'guilty', b'other'


def crash(watch, lifetime, now, *contents, ran_s=0.05):
    """Break the runs of these contents by a replica crash; return the marks."""
    for content in contents:
        watch.broke_off(lifetime, content, now - ran_s, now)
    return watch.ended(lifetime, now)


def test_content_of_two_crashes_is_quarantined():
    watch = CrashWatch()
    crash(watch, 'r1', 1.0, GUILTY)
    assert watch.left_s(GUILTY, 1.0) == 0
    crash(watch, 'r2', 2.0, GUILTY)
    assert watch.left_s(GUILTY, 2.0) == pytest.approx(RETENTION_S)
    assert watch.left_s(GUILTY, 2.0 + RETENTION_S) == 0


def test_broken_connections_without_an_ended_replica_are_no_crash():
    watch = CrashWatch()
    for at in (1.0, 2.0, 3.0):
        watch.broke_off('grey', GUILTY, at - 0.1, at)
    watch.prune(3.0 + EVIDENCE_S)
    assert watch.ended('grey', 3.0 + EVIDENCE_S) == ()
    assert not watch.has_marks


def test_runs_that_broke_long_before_the_crash_are_not_blamed():
    watch = CrashWatch()
    watch.broke_off('r1', OTHER, 0.5, 1.0)
    crash(watch, 'r1', 3.0, GUILTY)
    crash(watch, 'r2', 4.0, OTHER)
    assert watch.left_s(OTHER, 4.0) == 0


def test_only_a_suspect_is_blamed_when_one_was_running():
    watch = CrashWatch()
    crash(watch, 'r1', 1.0, GUILTY)
    crash(watch, 'r2', 2.0, GUILTY, OTHER)
    crash(watch, 'r3', 3.0, OTHER)
    assert watch.left_s(GUILTY, 3.0) > 0
    assert watch.left_s(OTHER, 3.0) == 0


def test_simultaneous_crashes_count_once_for_the_same_content():
    watch = CrashWatch()
    for lifetime, at in (('r1', 1.0), ('r2', 1.02), ('r3', 1.04)):
        crash(watch, lifetime, at, OTHER, ran_s=0.5)
    assert watch.left_s(OTHER, 1.1) == 0
    crash(watch, 'r4', 2.0, OTHER)
    assert watch.left_s(OTHER, 2.0) > 0


def test_content_that_completes_is_cleared_at_all_entries():
    local, remote = CrashWatch(), CrashWatch()
    marks = CrashMarks(marks=crash(local, 'r1', 1.0, OTHER))
    remote.heard(marks, 1.01)
    assert local.delivered(OTHER, 1.5)
    assert not local.delivered(OTHER, 1.6)
    remote.heard(CrashMarks(cleared=(OTHER,)), 1.51)
    # Resent marks from before the clearing change nothing.
    local.heard(remote.marks(1.6), 1.6)
    remote.heard(marks, 1.01)
    for watch in (local, remote):
        crash(watch, 'r2', 2.0, OTHER)
        assert watch.left_s(OTHER, 2.0) == 0


def test_entries_merge_their_crash_marks():
    rng = random.Random(1)
    watches = [CrashWatch() for _ in range(5)]
    crash(watches[0], 'r1', 1.0, GUILTY)
    crash(watches[1], 'r2', 2.0, GUILTY)
    marks = [watch.marks(2.0) for watch in watches[:2]]
    for watch in watches:
        for body in rng.sample(marks * 2, 4):
            watch.heard(body, 2.0)
        assert watch.left_s(GUILTY, 2.0) > 0


def test_an_entry_on_a_restarted_vm_accepts_older_marks():
    # The crashes lie before the start of the VM's monotonic clock, so their
    # times on it are negative.  Such marks must not be dropped.
    old, new = CrashWatch(), CrashWatch()
    for number, at in enumerate((100.0, 102.0)):
        crash(old, f'r{number}', at, GUILTY)
    new.heard(old.marks(150.0), 5.0)
    assert new.left_s(GUILTY, 5.0) > 500


def test_the_time_of_a_delayed_mark_is_corrected_when_it_is_resent():
    # The first mark arrives 0.4 s late, so its crash seems to follow the start
    # of the second run.  The error must not persist once the mark is resent.
    local, remote = CrashWatch(), CrashWatch()
    first = CrashMarks(marks=crash(local, 'r1', 1.0, GUILTY))
    second = CrashMarks(marks=crash(local, 'r2', 1.2, GUILTY))
    remote.heard(first, 1.4)
    remote.heard(second, 1.4)
    assert remote.left_s(GUILTY, 1.4) == 0
    remote.heard(local.marks(5.0), 5.0)
    assert remote.left_s(GUILTY, 5.0) > 0


def test_a_new_entry_receives_the_quarantined_content():
    old, new = CrashWatch(), CrashWatch()
    for number, at in enumerate((1.0, 2.0)):
        crash(old, f'r{number}', at, GUILTY)
    new.heard(old.marks(30.0), 30.0)
    assert new.left_s(GUILTY, 30.0) == pytest.approx(old.left_s(GUILTY, 30.0), abs=0.01)


def test_marks_expire_and_are_bounded():
    watch = CrashWatch()
    for number in range(MAX_CONTENTS + 50):
        crash(watch, f'r{number}', 1.0, b'%d' % number)
    watch.prune(1.0)
    marks = watch.marks(1.0)
    assert len(marks.marks) == MAX_MESSAGE_MARKS
    watch.prune(1.0 + RETENTION_S)
    assert not watch.has_marks
    watch.heard(marks, 2.0 + RETENTION_S)
    assert watch.has_marks
    original = CrashWatch()
    crash(original, 'r', 1.0, GUILTY)
    expired_marks = original.marks(1.0 + RETENTION_S)
    other = CrashWatch()
    other.heard(expired_marks, 900.0)
    assert not other.has_marks


def test_a_node_answers_the_first_mark_of_a_part_that_it_has_seen_run_well():
    (part,) = shared_parts('m', ['shared', 'last'])
    local, remote = CrashWatch(), CrashWatch()
    remote.proven((part,), 0.5)
    local.broke_off('r1', b'x', 0.9, 1.0, parts=(part,))
    remote.heard(CrashMarks(marks=local.ended('r1', 1.0)), 1.01)
    proofs = remote.take_proofs(1.05)
    assert [proof.key for proof in proofs] == [part.key]
    assert remote.take_proofs(1.06) == ()
    # A second node that knows the same says nothing once it has heard the proof.
    assert local.heard(CrashMarks(proofs=proofs), 1.1)
    assert not local.heard(CrashMarks(proofs=proofs), 1.2)
    for number in (2, 3):
        local.broke_off(
            f'r{number}', b'%d' % number, number, number + 0.1, parts=(part,)
        )
        local.ended(f'r{number}', number + 0.1)
    assert local.left_s(part.key, 3.2) == 0


def test_crashes_under_one_part_send_no_sound_request_into_quarantine():
    first, bad = shared_parts('m', ['first', 'bad', 'last'])
    watch = CrashWatch()
    for number in (1, 2, 3):
        at = float(number)
        watch.broke_off(f'r{number}', b'%d' % number, at - 0.1, at, parts=(first, bad))
        if number < 3:
            watch.broke_off(f'r{number}', OTHER, at - 0.1, at, parts=(first,))
        watch.ended(f'r{number}', at)
        watch.proven((first,), at + 0.5)
    assert set(watch.blamed) == {bad.key}
    assert watch.left_s(OTHER, 3.0) == 0
    assert watch.left_s(first.key, 3.0) == 0


def test_quarantined_contents_go_first_in_a_bounded_message():
    (bad,) = shared_parts('m', ['bad', 'last'])
    old, new = CrashWatch(), CrashWatch()
    for number in (1, 2, 3):
        old.broke_off(f'r{number}', b'%d' % number, number, number + 0.1, parts=(bad,))
        old.ended(f'r{number}', number + 0.1)
    for number in range(2 * MAX_MESSAGE_MARKS):
        crash(old, f'other{number}', 5.0, b'other%d' % number)
    new.heard(old.marks(6.0), 6.0)
    assert new.left_s(bad.key, 6.0) > 0


def test_the_memory_of_crashes_does_not_grow_with_the_number_of_parts():
    watch = CrashWatch()
    for number in range(3 * MAX_CONTENTS):
        parts = shared_parts('m', [f'part{number}', 'last'])
        watch.proven(parts, 1.0)
        watch.broke_off(f'r{number}', b'%d' % number, 0.9, 1.0, parts=parts)
        watch.ended(f'r{number}', 1.0)
        if number % 500 == 0:
            watch.prune(1.0)
    watch.prune(1.0)
    assert len(watch._marks) <= MAX_CONTENTS
    assert len(watch._proven._at) <= MAX_PROVEN


def test_a_part_at_several_positions_is_judged_alike_in_any_order():
    names = sorted(['a', 'b'], key=lambda name: shared_parts('m', [name, 'z'])[0].key)
    later, earlier = names
    first, other = shared_parts('m', [earlier, later, 'last'])
    again, _ = shared_parts('m', [later, earlier, 'last'])
    assert again.key == other.key
    bodies = []
    for number, parts in enumerate([(first, other), (first, again)] * 3):
        watch = CrashWatch()
        watch.broke_off(f'r{number}', b'%d' % number, number, number + 0.1, parts=parts)
        marks = watch.ended(f'r{number}', number + 0.1)
        bodies.append((number + 0.1, CrashMarks(marks=marks)))
    verdicts = set()
    for order in (bodies, bodies[::-1]):
        watch = CrashWatch()
        for at, body in order:
            watch.heard(body, at)
        verdicts.add(frozenset(watch.blamed))
    assert verdicts == {frozenset({other.key})}


def test_a_request_that_has_run_well_is_quarantined_for_two_crashes_it_was_there_at():
    watch = CrashWatch()
    watch.delivered(OTHER, 0.5)
    for number in range(1, PROVEN_REQUEST_CRASHES):
        crash(watch, f'r{number}', float(number), OTHER)
        assert watch.left_s(OTHER, float(number)) == 0
    crash(watch, 'last', 9.0, OTHER)
    assert 0 < watch.left_s(OTHER, 9.0) < RETENTION_S / 2


def test_replicas_that_start_again_one_by_one_quarantine_what_they_all_run():
    # A brisk rolling release; some runs at other replicas write for long enough.
    watch = CrashWatch()
    watch.delivered(OTHER, 9.0)
    for number in range(10):
        now = 10.0 + 0.5 * number
        crash(watch, f'r{number}', now, OTHER)
        assert watch.left_s(OTHER, now) == 0
        if number % 2:
            watch.delivered(OTHER, now + 0.25)
