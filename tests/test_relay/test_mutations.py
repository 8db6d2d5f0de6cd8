"""Mechanisms of an entry taken away: a test of each promise has to fail."""

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
    """An answer of another request is taken for this one's."""
    patch.setattr(target_connection, '_header_value', lambda headers, name: b'')
    return connection_checks.test_a_late_response_to_another_request_is_discarded


def repeat_anything(patch):
    """What may have run is sent again whatever its route says."""
    patch.setattr(Dispatcher, '_may_repeat', lambda self, work, ended: True)
    cut = 'reset before an answer'
    return lambda: dispatcher_checks.test_what_may_have_run_once_is_not_sent_again(cut)


def not_run_after_a_send(patch):
    """An entry says that a request did not run although it was sent."""
    lose = Dispatcher._lose

    def promising(self, conn, work, reason):
        if not conn.has_begun:
            raise TurnedAway(status=503, reason=reason)
        lose(self, conn, work, reason)

    patch.setattr(Dispatcher, '_lose', promising)
    return (
        dispatcher_checks.test_without_budget_what_may_have_run_is_not_said_to_have_not
    )


def no_order_check(patch):
    """Events are passed on whatever their numbers."""
    patch.setattr(ExchangeRun, '_check_order', lambda self, event: None)
    check = dispatcher_checks.test_events_twice_or_missing_are_never_delivered
    return lambda: check(events(2, 5))


def a_cut_stream_looks_complete(patch):
    """A stream that breaks ends as if that were its end."""
    run = ExchangeRun.run

    def trusting(self):
        ended = run(self)
        if isinstance(ended, Lost) and ended.delivered:
            self._conn.finish()
            return Delivered()
        return ended

    patch.setattr(ExchangeRun, 'run', trusting)
    check = dispatcher_checks
    return check.test_a_broken_stream_that_may_not_go_on_does_not_look_complete


def states_go_back(patch):
    """The newest announcement counts, whatever state it names."""
    patch.setattr(
        directory,
        '_merged',
        lambda known, record: record if record.sequence > known.sequence else known,
    )
    return directory_checks.test_a_late_announcement_does_not_end_a_drain


def no_lifetimes(patch):
    """An earlier lifetime at an address stays in use."""
    patch.setattr(directory.Directory, '_end_earlier_at_address', lambda *_: None)
    return directory_checks.test_a_later_lifetime_at_an_address_ends_the_earlier_one


def whole_allowance_when_cut_off(patch):
    """Each part that is cut off lets the whole allowance through."""
    patch.setattr(LiveNodes, 'share', lambda self, now: 1.0)
    return allowance_checks.test_a_cut_does_not_double_what_a_burst_may_take


def both_sides_of_a_cut_count_on_those_between(patch):
    """A part that shares entries with another one is used in full."""
    patch.setattr(heard_nodes, 'OVERLAP_SAFETY', 1.0)
    check = allowance_checks
    return lambda: (
        check.test_lenders_that_hear_both_sides_of_a_cut_do_not_double_the_allowance(
            {0}, {3, 4, 5, 6}
        )
    )


def lifetimes_go_on(patch):
    """An answer that another replica has the address changes nothing."""
    patch.setattr(Targets, 'ended', lambda *_: None)
    return targets_checks.test_a_lifetime_that_is_over_is_not_used_again


def no_reports(patch):
    """Lenders hear nothing of what the others' entries let through."""
    patch.setattr(AllowanceLender, '_subtract_lender_use', lambda *_: None)
    check = allowance_checks
    return lambda: check.test_all_entries_together_keep_the_allowance_also_when_cut_off(
        set()
    )


def each_break_is_a_crash(patch):
    """A run that is broken off counts, also where the replica lives."""
    patch.setattr(crash_watch, 'EVIDENCE_S', 1000.0)
    return crash_checks.test_broken_connections_without_an_ended_replica_are_no_crash


def crashes_at_once_add_up(patch):
    """What runs in many places is blamed for each crash of a rack."""
    patch.setattr(
        crash_watch,
        '_separate_crash_times',
        lambda runs: [run.broken_at for run in runs],
    )
    return crash_checks.test_simultaneous_crashes_count_once_for_the_same_content


def any_stream_while_stopping(patch):
    """A stream is taken although it would be cut off."""
    patch.setattr(Departure, 'check', lambda self, work, now: None)
    return lambda: departure_checks.test_what_is_taken_ends_before_the_cut(2800, 2.4)


def more_grants_than_places(patch):
    """A gate grants one place too many."""
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
    states_go_back,
    no_lifetimes,
    whole_allowance_when_cut_off,
    both_sides_of_a_cut_count_on_those_between,
    lifetimes_go_on,
    no_reports,
    each_break_is_a_crash,
    crashes_at_once_add_up,
    any_stream_while_stopping,
    more_grants_than_places,
]


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda m: m.__name__)
def test_without_the_mechanism_its_check_fails(monkeypatch, mutation):
    check = mutation(monkeypatch)
    with pytest.raises((AssertionError, ExchangeFailed, TurnedAway)):
        check()
