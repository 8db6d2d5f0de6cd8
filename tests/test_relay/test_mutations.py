"""Mutations that disable a mechanism of requests, so that its test fails."""

from __future__ import annotations

import attrs

from pistachiopath.directory import announcer
from pistachiopath.errors.relay import TurnedAway
from pistachiopath.exchange import target_connection
from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.place_queue import PlaceQueue
from pistachiopath.relay.attempts import EarlierAttempts
from pistachiopath.relay.dispatcher import Dispatcher
from pistachiopath.relay.ended import Delivered, Lost
from pistachiopath.relay.exchange_run import ExchangeRun
from pistachiopath.relay.hedge import Hedge
from tests.harness.mutations import check_fails, each
from tests.test_directory import test_content_in_flight as content_checks
from tests.test_exchange import test_target_connection as connection_checks
from tests.test_grants import test_gate as gate_checks

from . import test_dispatcher as dispatcher_checks
from . import test_overload as overload_checks
from . import test_silent_targets as silence_checks
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


def more_grants_than_places(patch):
    """Lets a gate grant one place too many."""
    patch.setattr(
        PlaceQueue, 'has_room', lambda self, place: len(self.running) <= self.slots
    )
    return gate_checks.test_random_histories_never_exceed_the_places


def every_copy_at_once(patch):
    """Sends a configuration again before it can have arrived."""

    def needs_content(self, version, now):
        return self.wants_content and version > self.version

    patch.setattr(announcer.Follower, 'needs_content', needs_content)
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


@each(
    no_request_id_check,
    repeat_anything,
    not_run_after_a_send,
    no_order_check,
    a_cut_stream_looks_complete,
    silence_ends_an_answer,
    more_grants_than_places,
    every_copy_at_once,
    timeout_less_deadline_is_spent,
    resumed_streams_wait_as_new_requests_do,
)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check_fails(mutation(monkeypatch))
