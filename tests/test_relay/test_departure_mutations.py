"""Mutations that disable a mechanism of departures, so that its test fails."""

from __future__ import annotations

import time
from types import SimpleNamespace

from pistachiopath.directory import directory
from pistachiopath.directory.replica_state import ReplicaState
from pistachiopath.relay import notices, placer
from pistachiopath.relay.departure import Departure
from pistachiopath.relay.exchange_run import ExchangeRun
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.targets import Targets
from pistachiopath.routing.replica_health import ReplicaHealth
from tests.harness.mutations import check_fails, each
from tests.test_directory import test_directory as directory_checks

from . import test_departure as departure_checks
from . import test_dispatcher as dispatcher_checks
from . import test_notices as notice_checks
from . import test_targets as targets_checks
from .test_entry import Node


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


def superseded_lifetimes_stay(patch):
    """Ignores the answer that another replica has the address."""
    patch.setattr(Targets, 'mark_superseded', lambda *_: None)
    return targets_checks.test_a_lifetime_that_has_ended_is_not_used_again


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


def belief_dropped_at_the_next_announcement(patch):
    """Believes a fresher announcement of a replica that has said that it leaves."""
    states_revert(patch)
    check = notice_checks
    return lambda: (
        check.test_no_announcement_of_the_same_lifetime_brings_a_leaving_replica_back(
            Node()
        )
    )


def fallback_to_all(patch):
    """Takes replicas that leave if there are no others, and sends to them."""

    def all_if_none_is_ready(self):
        records = list(self._subscriber.directory.records())
        return [r for r in records if r.state == ReplicaState.READY] or records

    patch.setattr(Targets, 'ready', all_if_none_is_ready)
    patch.setattr(Targets, 'may_send', lambda *_: True)
    check = notice_checks.test_a_replica_that_says_it_leaves_gets_no_further_request
    return lambda: check(Node(), 'success')


def time_of_day_in_place_of_the_steady_clock(patch):
    """Measures backoffs by a clock that steps."""
    time_of_day = SimpleNamespace(monotonic=lambda: time.time())
    patch.setattr(notices, 'time', time_of_day)
    patch.setattr(placer, 'time', time_of_day)
    check = notice_checks.test_a_step_of_the_clock_does_not_end_a_backoff
    return lambda: check(Node(), patch, 3600.0)


def only_the_ends_of_answers_are_read(patch):
    """Believes that a replica leaves once its answer has ended."""
    late = []
    record = notices.Notices.record
    run = ExchangeRun.run

    def run_and_record(self):
        result = run(self)
        for call in late:
            record(*call)
        return result

    patch.setattr(notices.Notices, 'record', lambda *call: late.append(call))
    patch.setattr(ExchangeRun, 'run', run_and_record)
    check = notice_checks
    return lambda: (
        check.test_a_stream_whose_head_says_that_its_replica_leaves_is_the_last_one_there(
            Node()
        )
    )


@each(
    states_revert,
    no_lifetimes,
    superseded_lifetimes_stay,
    any_stream_while_stopping,
    waiting_requests_are_not_looked_at,
    look_only_at_the_choice,
    backoff_forgotten_on_a_success,
    belief_dropped_at_the_next_announcement,
    fallback_to_all,
    time_of_day_in_place_of_the_steady_clock,
    only_the_ends_of_answers_are_read,
)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check_fails(mutation(monkeypatch))
