"""Mutations that disable a mechanism of streams' versions, so that its test fails."""

from __future__ import annotations

from pistachiopath.document.noted_streams import NotedStreams
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.grants.begun_streams import BegunStreams
from pistachiopath.lifetimes.known_lifetimes import KnownLifetimes
from pistachiopath.lifetimes.open_streams import OpenStreams
from pistachiopath.lifetimes.version_deduction import VersionDeduction
from pistachiopath.relay.dispatcher import Dispatcher
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.stream_versions import StreamVersions
from pistachiopath.relay.work import Work
from tests.harness.mutations import check_fails, each
from tests.test_lifetimes import test_open_streams as note_checks

from . import test_late_first_reports as late_checks
from . import test_stream_versions as version_checks
from .control_node import Control


def versions_are_not_looked_at(patch):
    """Sends a return to replicas of all versions, and delivers their events."""
    patch.setattr(Work, 'may_run_at', lambda self, record: True)
    return with_a_gate(
        version_checks.test_returns_go_on_at_another_version_after_all_entries_lost_power
    )


def versions_are_not_looked_at_in_a_retry(patch):
    """Forgets who began a stream when it breaks."""
    patch.setattr(StreamVersions, 'begun', lambda self, work, record, opened_at: None)
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
        origin = self._find(work).origin
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


def reports_are_not_waited_for(patch):
    """Deduces a version though a replica has not reported since the return."""
    patch.setattr(VersionDeduction, '_look_at_replicas', lambda *_: None)
    return with_a_control(
        late_checks.test_a_return_is_deduced_though_one_of_several_replicas_is_late
    )


def gaps_between_lifetimes_are_overlooked(patch):
    """Takes a replica's lifetimes to follow one another at once."""
    patch.setattr(KnownLifetimes, 'has_begun', lambda *_: True)
    return with_a_control(
        late_checks.test_a_return_is_deduced_though_a_replica_has_just_started_again
    )


def gates_are_believed(patch):
    """Takes what a lost entry named to a gate for what began the stream."""
    patch.setattr(KnownLifetimes, 'ran', lambda *_: True)
    check = late_checks
    return check.test_a_return_goes_on_at_what_a_lost_entry_named_to_the_gate


def a_whole_answer_proves_its_lifetime(patch):
    """Confirms to the gate what nobody has proved."""
    patch.setattr(Dispatcher, '_is_proven', lambda *_: True)
    check = late_checks
    return check.test_a_whole_answer_makes_the_gate_certain_of_what_nobody_proved


def with_a_control(check):
    """Return a check that is given a control node of its own."""

    def run():
        node = Control()
        try:
            check(node)
        finally:
            node.shell.stop()

    return run


def with_a_gate(check):
    """Return a check that is given the address of a gate of its own."""
    return lambda: check(version_checks.start_gate())


@each(
    versions_are_not_looked_at,
    versions_are_not_looked_at_in_a_retry,
    the_fallback_takes_all_versions,
    a_guess_when_nobody_knows,
    gates_do_not_remember,
    control_nodes_do_not_remember,
    a_new_holder_is_told_only_new_streams,
    idle_connections_are_not_looked_at,
    reports_are_not_waited_for,
    gaps_between_lifetimes_are_overlooked,
    gates_are_believed,
    a_whole_answer_proves_its_lifetime,
)
def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
    check_fails(mutation(monkeypatch))
