"""Mutations that disable a mechanism, so that the test of its promise fails."""

from __future__ import annotations

import attrs
import pytest

from pistachiopath.admission import heard_nodes
from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.admission.heard_nodes import LiveNodes
from pistachiopath.directory import announcer, directory
from pistachiopath.document.noted_streams import NotedStreams
from pistachiopath.errors.exchange import ExchangeFailed
from pistachiopath.errors.relay import TurnedAway
from pistachiopath.exchange import target_connection
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.grants.begun_streams import BegunStreams
from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.place_queue import PlaceQueue
from pistachiopath.quarantine import blame, unexplained_runs
from pistachiopath.quarantine.crash_watch import CrashWatch
from pistachiopath.quarantine.trials import Trials
from pistachiopath.relay.attempts import EarlierAttempts
from pistachiopath.relay.crashes import Crashes
from pistachiopath.relay.departure import Departure
from pistachiopath.relay.dispatcher import Dispatcher
from pistachiopath.relay.ended import Delivered, Lost
from pistachiopath.relay.exchange_run import ExchangeRun
from pistachiopath.relay.hedge import Hedge
from pistachiopath.relay.open_streams import OpenStreams
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.stream_versions import StreamVersions
from pistachiopath.relay.targets import Targets
from pistachiopath.relay.work import Work
from pistachiopath.routing.replica_health import ReplicaHealth
from tests.harness import crash_world
from tests.test_admission import test_leased_allowance as allowance_checks
from tests.test_directory import test_content_in_flight as content_checks
from tests.test_directory import test_directory as directory_checks
from tests.test_exchange import test_target_connection as connection_checks
from tests.test_grants import test_gate as gate_checks
from tests.test_quarantine import test_crash_watch as crash_checks
from tests.test_quarantine import test_trials as trial_checks

from . import test_crashes as crash_relay_checks
from . import test_crashing_parts as part_checks
from . import test_departure as departure_checks
from . import test_dispatcher as dispatcher_checks
from . import test_notices as notice_checks
from . import test_open_streams as note_checks
from . import test_overload as overload_checks
from . import test_silent_targets as silence_checks
from . import test_stream_versions as version_checks
from . import test_targets as targets_checks
from .parts import events


def no_request_id_check(patch):
    """Accepts the answer of another request."""
    patch.setattr(target_connection, '_header_value', lambda headers, name: b'')
    return connection_checks.test_a_late_response_to_another_request_is_discarded


def repeat_anything(patch):
    """Repeats a request that may have run, whatever its route says."""
    patch.setattr(Dispatcher, '_may_repeat', lambda self, work, result: True)
    cut = 'reset before an answer'
    return lambda: (
        dispatcher_checks.test_a_once_request_that_may_have_run_is_not_repeated(cut)
    )


def not_run_after_a_send(patch):
    """Reports a request as not run although it was sent."""
    respond_lost = Dispatcher._respond_lost

    def report_not_run(self, conn, work, reason):
        if not conn.has_begun:
            raise TurnedAway(status=503, reason=reason)
        respond_lost(self, conn, work, reason)

    patch.setattr(Dispatcher, '_respond_lost', report_not_run)
    return dispatcher_checks.test_without_budget_a_request_that_may_have_run_is_lost


def no_order_check(patch):
    """Delivers events whatever their numbers."""
    patch.setattr(ExchangeRun, '_check_order', lambda self, event: None)
    check = dispatcher_checks.test_repeated_or_missing_events_are_never_delivered
    return lambda: check(events(2, 5))


def a_cut_stream_looks_complete(patch):
    """Finishes a broken stream as if it were complete."""
    run = ExchangeRun.run

    def run_and_finish(self):
        result = run(self)
        if isinstance(result, Lost) and result.delivered:
            self._conn.finish()
            return Delivered()
        return result

    patch.setattr(ExchangeRun, 'run', run_and_finish)
    check = dispatcher_checks
    return check.test_a_broken_stream_that_may_not_resume_does_not_look_complete


def silence_ends_an_answer(patch):
    """Leaves a silent target before anything better is known."""
    patch.setattr(Hedge, 'has_found', True)
    cases = silence_checks.SILENT
    return lambda: (
        silence_checks.test_an_answer_is_whole_if_its_target_falls_silent_and_goes_on(
            next(iter(cases)), silence_checks.no_other_target
        )
    )


def states_revert(patch):
    """Lets the newest announcement set a replica back to an earlier state."""
    patch.setattr(
        directory,
        '_merged',
        lambda known, record: record if record.sequence > known.sequence else known,
    )
    return directory_checks.test_a_late_announcement_does_not_end_a_drain


def no_lifetimes(patch):
    """Keeps an earlier lifetime at an address in use."""
    patch.setattr(directory.Directory, '_end_earlier_at_address', lambda *_: None)
    return directory_checks.test_a_later_lifetime_at_an_address_ends_the_earlier_one


def whole_allowance_when_cut_off(patch):
    """Lets each side of a partition use the whole allowance."""
    patch.setattr(LiveNodes, 'share', lambda self, now: 1.0)
    return allowance_checks.test_a_partition_does_not_double_the_burst_allowance


def overlapping_partitions_use_full_shares(patch):
    """Lets partitions that have entries in common use their shares in full."""
    patch.setattr(heard_nodes, 'OVERLAP_SAFETY', 1.0)
    check = allowance_checks
    return lambda: check.test_overlapping_partitions_do_not_double_the_allowance(
        {0}, {3, 4, 5, 6}
    )


def superseded_lifetimes_stay(patch):
    """Ignores the answer that another replica has the address."""
    patch.setattr(Targets, 'mark_superseded', lambda *_: None)
    return targets_checks.test_a_lifetime_that_has_ended_is_not_used_again


def no_reports(patch):
    """Lets lenders ignore the use that other lenders report for their entries."""
    patch.setattr(AllowanceLender, '_subtract_lender_use', lambda *_: None)
    check = allowance_checks
    return lambda: check.test_all_entries_together_keep_the_allowance_also_when_cut_off(
        set()
    )


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


def any_stream_while_stopping(patch):
    """Admits a stream although it would be cut off."""
    patch.setattr(Departure, 'check', lambda self, work, now: None)
    return lambda: departure_checks.test_admitted_streams_end_before_the_cutoff(
        2800, 2.4
    )


def waiting_requests_are_not_looked_at(patch):
    """Lets a request wait for a place although its run would be cut off."""
    patch.setattr(Departure, 'check_unsent', lambda self, work, now: None)
    check = departure_checks
    return check.test_a_request_that_waits_is_refused_once_too_little_time_is_left


def more_grants_than_places(patch):
    """Lets a gate grant one place too many."""
    patch.setattr(
        PlaceQueue, 'has_room', lambda self, place: len(self.running) <= self.slots
    )
    return gate_checks.test_random_histories_never_exceed_the_places


def look_only_at_the_choice(patch):
    """Sends to a replica that left while the request waited."""
    patch.setattr(Placer, 'may_send', lambda *_: True)
    return dispatcher_checks.test_a_replica_that_left_during_the_wait_is_not_sent_to


def backoff_forgotten_on_a_success(patch):
    """Ends a backoff when a request is answered."""

    def succeeded(self, replica, now):
        self._records.pop(replica, None)

    patch.setattr(ReplicaHealth, 'succeeded', succeeded)
    return notice_checks.test_neither_a_shorter_backoff_nor_a_success_ends_a_backoff


def every_copy_at_once(patch):
    """Sends a configuration again before it can have arrived."""

    def needs_content(self, version, now):
        return self.wants_content and version > self.version

    patch.setattr(announcer._Follower, 'needs_content', needs_content)
    control = announcer.Announcer(address='c1', feed=1, silent_after_s=3.6, now=0.0)
    check = content_checks
    return lambda: (
        check.test_a_slow_follower_gets_one_configuration_at_a_time_and_the_newest_next(
            control
        )
    )


def timeout_less_deadline_is_spent(patch):
    """Takes a deadline shorter than the timeout for time spent before."""

    def spent_s(self, req, route):
        return route.timeout_s - req.deadline_s

    patch.setattr(EarlierAttempts, 'spent_s', spent_s)
    return lambda: overload_checks.test_short_deadlines_do_not_make_the_third_tier_late(
        patch
    )


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


def versions_are_not_looked_at(patch):
    """Sends a return to replicas of all versions, and delivers their events."""
    patch.setattr(Work, 'may_run_at', lambda self, record: True)
    return with_a_gate(
        version_checks.test_returns_go_on_at_another_version_after_all_entries_lost_power
    )


def versions_are_not_looked_at_in_a_retry(patch):
    """Forgets who began a stream when it breaks."""
    patch.setattr(StreamVersions, 'begun', lambda self, work, record: None)
    return with_a_gate(
        version_checks.test_a_broken_stream_goes_on_at_another_version_within_one_answer
    )


def the_fallback_takes_all_versions(patch):
    """Takes any replica if all of the stream's version are excluded."""
    of_same_version = Placer._of_same_version

    def or_all(self, work, candidates, now):
        return of_same_version(self, work, candidates, now) or candidates

    patch.setattr(Placer, '_of_same_version', or_all)
    patch.setattr(Placer, 'may_send', lambda *_: True)
    return with_a_gate(
        version_checks.test_a_return_goes_on_at_another_version_when_the_old_one_has_just_left
    )


def a_guess_when_nobody_knows(patch):
    """Goes on with a stream at any version if nobody knows its own."""

    def resolve(self, work):
        origin, _ = self._find(work)
        if origin is not None:
            work.go_on_at(origin.version)

    patch.setattr(StreamVersions, 'resolve', resolve)
    return with_a_gate(
        version_checks.test_a_return_that_nobody_knows_is_refused_while_two_versions_serve
    )


def gates_do_not_remember(patch):
    """Keeps no streams where they survive the entries."""
    patch.setattr(BegunStreams, 'granted', lambda *_: None)
    return with_a_gate(
        version_checks.test_returns_go_on_at_another_version_after_all_entries_lost_power
    )


def control_nodes_do_not_remember(patch):
    """Keeps no streams where no gate holds them."""
    patch.setattr(NotedStreams, 'note', lambda *_: None)
    return note_checks.test_streams_of_two_versions_are_mixed_up


def a_new_holder_is_told_only_new_streams(patch):
    """Takes a control node to remember what it was told before the link was lost."""
    patch.setattr(OpenStreams, 'handle_lost', lambda *_: None)
    check = note_checks
    return check.test_open_streams_are_forgotten_when_their_control_node_starts_again


def idle_connections_are_not_looked_at(patch):
    """Opens a new connection in place of one that the replica closed early."""
    patch.setattr(ConnectionPool, 'drop_closed', lambda *_: None)
    return with_a_gate(
        version_checks.test_a_stream_goes_on_at_a_replica_that_closed_an_idle_connection_early
    )


def resumed_streams_wait_as_new_requests_do(patch):
    """Ranks and denies resumed streams as new requests."""
    patch.setattr(GrantGate, 'ask', _ask_as_new(GrantGate.ask))
    check = overload_checks
    return lambda: (
        check.test_callers_with_half_of_a_stream_are_refused_no_more_often_than_new_ones(
            patch
        )
    )


def _ask_as_new(ask):
    def ask_as_new(self, entry, body, now):
        return ask(self, entry, attrs.evolve(body, is_resumed=False), now)

    return ask_as_new


def with_a_gate(check):
    """Return a check that is given the address of a gate of its own."""
    return lambda: check(version_checks.start_gate())


FAILURES = (AssertionError, ExchangeFailed, TurnedAway, pytest.fail.Exception)

MUTATIONS = [
    no_request_id_check,
    repeat_anything,
    not_run_after_a_send,
    no_order_check,
    a_cut_stream_looks_complete,
    silence_ends_an_answer,
    states_revert,
    no_lifetimes,
    whole_allowance_when_cut_off,
    overlapping_partitions_use_full_shares,
    superseded_lifetimes_stay,
    no_reports,
    each_break_is_a_crash,
    crashes_at_once_add_up,
    any_stream_while_stopping,
    waiting_requests_are_not_looked_at,
    more_grants_than_places,
    look_only_at_the_choice,
    backoff_forgotten_on_a_success,
    every_copy_at_once,
    timeout_less_deadline_is_spent,
    parts_are_not_looked_at,
    no_look_at_quarantine_before_the_send,
    trials_are_not_deferred,
    proofs_are_forgotten,
    versions_are_not_looked_at,
    versions_are_not_looked_at_in_a_retry,
    the_fallback_takes_all_versions,
    a_guess_when_nobody_knows,
    gates_do_not_remember,
    control_nodes_do_not_remember,
    a_new_holder_is_told_only_new_streams,
    idle_connections_are_not_looked_at,
    resumed_streams_wait_as_new_requests_do,
]


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda m: m.__name__)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check = mutation(monkeypatch)
    with pytest.raises(FAILURES):
        check()
