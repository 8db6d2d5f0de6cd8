"""Mutations that disable a mechanism, so that the test of its promise fails."""

from __future__ import annotations

import pytest

from pistachiopath.admission import heard_nodes
from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.admission.heard_nodes import LiveNodes
from pistachiopath.directory import directory
from pistachiopath.errors.exchange import ExchangeFailed
from pistachiopath.errors.relay import TurnedAway
from pistachiopath.exchange import target_connection
from pistachiopath.grants.gate import GrantGate
from pistachiopath.quarantine import crash_watch
from pistachiopath.relay.departure import Departure
from pistachiopath.relay.dispatcher import Dispatcher
from pistachiopath.relay.ended import Delivered, Lost
from pistachiopath.relay.exchange_run import ExchangeRun
from pistachiopath.relay.targets import Targets
from tests.test_admission import test_leased_allowance as allowance_checks
from tests.test_directory import test_directory as directory_checks
from tests.test_exchange import test_target_connection as connection_checks
from tests.test_grants import test_gate as gate_checks
from tests.test_quarantine import test_crash_watch as crash_checks

from . import test_departure as departure_checks
from . import test_dispatcher as dispatcher_checks
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
    patch.setattr(crash_watch, 'EVIDENCE_S', 1000.0)
    return crash_checks.test_broken_connections_without_an_ended_replica_are_no_crash


def crashes_at_once_add_up(patch):
    """Blames content that runs on many replicas for each crash of a rack."""
    patch.setattr(
        crash_watch,
        '_separate_crash_times',
        lambda runs: [run.broken_at for run in runs],
    )
    return crash_checks.test_simultaneous_crashes_count_once_for_the_same_content


def any_stream_while_stopping(patch):
    """Admits a stream although it would be cut off."""
    patch.setattr(Departure, 'check', lambda self, work, now: None)
    return lambda: departure_checks.test_admitted_streams_end_before_the_cutoff(
        2800, 2.4
    )


def more_grants_than_places(patch):
    """Lets a gate grant one place too many."""
    patch.setattr(
        GrantGate, '_has_room', lambda self, place: len(self._running) <= self.slots
    )
    return gate_checks.test_random_histories_never_exceed_the_places


MUTATIONS = [
    no_request_id_check,
    repeat_anything,
    not_run_after_a_send,
    no_order_check,
    a_cut_stream_looks_complete,
    states_revert,
    no_lifetimes,
    whole_allowance_when_cut_off,
    overlapping_partitions_use_full_shares,
    superseded_lifetimes_stay,
    no_reports,
    each_break_is_a_crash,
    crashes_at_once_add_up,
    any_stream_while_stopping,
    more_grants_than_places,
]


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda m: m.__name__)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check = mutation(monkeypatch)
    with pytest.raises((AssertionError, ExchangeFailed, TurnedAway)):
        check()
