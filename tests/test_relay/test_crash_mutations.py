"""Mutations that disable a mechanism against crashes, so that its test fails."""

from __future__ import annotations

from pistachiopath.quarantine import blame, unexplained_runs
from pistachiopath.quarantine.crash_watch import CrashWatch
from pistachiopath.quarantine.trials import Trials
from pistachiopath.relay.crashes import Crashes
from tests.harness import crash_world
from tests.harness.mutations import check_fails, each
from tests.test_quarantine import test_crash_watch as crash_checks
from tests.test_quarantine import test_trials as trial_checks

from . import test_crashes as crash_relay_checks
from . import test_crashing_parts as part_checks


def each_break_is_a_crash(patch):
    """Counts a broken run as a crash although its replica is alive."""
    patch.setattr(unexplained_runs, 'EVIDENCE_S', 1000.0)
    return crash_checks.test_broken_connections_without_an_ended_replica_are_no_crash


def crashes_at_once_add_up(patch):
    """Blames content that runs on many replicas for each crash of a rack."""
    patch.setattr(
        blame,
        'separate_crash_times',
        lambda runs: [run.broken_at for run in runs],
    )
    return crash_checks.test_simultaneous_crashes_count_once_for_the_same_content


def parts_are_not_looked_at(patch):
    """Takes each request for content of its own."""
    patch.setattr(crash_world, 'shared_parts', lambda model, part_ids: ())
    check = part_checks
    return lambda: (
        check.test_requests_that_share_a_crashing_part_stop_crashing_replicas(
            'three_sites', 'after_the_first_part'
        )
    )


def no_look_at_quarantine_before_the_send(patch):
    """Sends what was quarantined while it waited for a place."""
    patch.setattr(Crashes, 'check_send', lambda *_: None)
    check = crash_relay_checks
    return check.test_a_part_that_is_quarantined_during_the_wait_for_a_place_is_not_sent


def trials_are_not_deferred(patch):
    """Lets each entry try a part in quarantine, whatever others have tried."""
    patch.setattr(Trials, 'heard', lambda *_: False)
    return trial_checks.test_a_part_in_quarantine_is_tried_by_one_node_at_a_time


def proofs_are_forgotten(patch):
    """Forgets the parts that ran well before the first crash."""
    patch.setattr(CrashWatch, '_use_own_proof', lambda *_: None)
    check = crash_checks
    return check.test_a_node_answers_the_first_mark_of_a_part_that_it_has_seen_run_well


@each(
    each_break_is_a_crash,
    crashes_at_once_add_up,
    parts_are_not_looked_at,
    no_look_at_quarantine_before_the_send,
    trials_are_not_deferred,
    proofs_are_forgotten,
)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check_fails(mutation(monkeypatch))
