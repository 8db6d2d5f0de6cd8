from __future__ import annotations

import json
import math

from pistachiopath.grants.watch import LoadWatch
from pistachiopath.lifetimes.lifetime_doubts import (
    DOUBT_S,
    RESTART_MIN_S,
    LifetimeDoubts,
)
from pistachiopath.lifetimes.restart_watch import RestartWatch
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.relay.targets import DRAIN_S, DRAIN_SHARE, Targets
from pistachiopath.routing.replica_health import ReplicaHealth
from pistachiopath.streams.service_version import version_of
from tests.test_directory.records import record
from tests.test_platform.test_configuration import VALID

from .parts import FakeEntry


def make_targets(*replicas, routes=lambda: None, health=None, turns=None):
    entry = FakeEntry(replicas)
    return entry, Targets(
        subscriber=entry,
        loads=LoadWatch(),
        agent_port=7002,
        routes=routes,
        health=health or ReplicaHealth(),
        turns=turns or Turns(),
        restarts=RestartWatch(started_at=0.0),
        doubts=LifetimeDoubts(),
    )


class Turns:
    """Clock of a process that stood still since `stood_since`, or never did."""

    def __init__(self, stood_since=math.inf):
        self.stood_since = stood_since

    def may_have_come_at(self, now):
        return min(now, self.stood_since)


def names(targets):
    return [r.replica for r in targets.ready()]


def test_a_lifetime_that_has_ended_is_not_used_again():
    entry, targets = make_targets('r1', 'r2')
    targets.mark_superseded(record(replica='r1'), 5.0)
    assert names(targets) == ['r2']
    # The control nodes still announce the last record of this lifetime.
    entry.directory.merge(record(replica='r1', sequence=2), 5.1)
    assert names(targets) == ['r2']


def test_a_later_lifetime_of_the_same_name_is_used():
    entry, targets = make_targets('r1')
    targets.mark_superseded(record(replica='r1'), 5.0)
    entry.directory.merge(record(replica='r1', born_ms=9000), 6.0)
    assert names(targets) == ['r1']
    # A late report about the earlier lifetime has no effect.
    targets.mark_superseded(record(replica='r1'), 6.1)
    assert names(targets) == ['r1']


V1 = version_of(record())


def draining(replica='r1', **changes):
    return record(replica=replica, state='draining', sequence=2, **changes)


def names_of_draining(targets, now):
    return [c.record.replica for c in targets.draining('model', set(), now)]


def test_a_stream_may_go_on_at_a_replica_that_has_just_begun_to_drain():
    entry, targets = make_targets('r1')
    entry.directory.merge(draining(), 10.0)
    in_time = 10.0 + DRAIN_SHARE * DRAIN_S - 0.1
    assert names_of_draining(targets, in_time) == ['r1']
    assert targets.may_resume(record(), in_time)
    assert not targets.is_version_gone(V1, in_time)
    late = 10.0 + DRAIN_SHARE * DRAIN_S
    assert names_of_draining(targets, late) == []
    assert not targets.may_resume(record(), late)
    assert targets.is_version_gone(V1, late)


def test_no_stream_goes_on_at_a_replica_that_has_been_draining_for_an_unknown_time():
    entry, targets = make_targets('r1', 'r2')
    targets.mark_leaving(record(replica='r1'), 10.0)
    entry.directory.merge(draining('r3'), 10.0)
    entry.directory.depart('r2', 10.0)
    assert names_of_draining(targets, 10.1) == []


def test_a_replica_whose_connection_broke_may_have_restarted_with_another_version():
    entry, targets = make_targets('r1')
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.doubt(record(), 10.0)
    assert not targets.may_resume(record(), 10.0 + DOUBT_S - 0.1)
    assert targets.may_send(record(), 10.1)
    assert targets.may_resume(record(), 10.1 + DOUBT_S)
    renewed = record(born_ms=5000)
    entry.directory.merge(renewed, 10.2)
    assert targets.may_resume(renewed, 10.2)


def test_a_replica_that_accepts_a_connection_right_after_a_break_has_not_restarted():
    entry, targets = make_targets('r1')
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.doubt(record(), 10.0)
    targets.accepted('10.0.0.1:80', 10.0 + RESTART_MIN_S)
    assert not targets.may_resume(record(), 10.6)
    targets.doubt(record(), 20.0)
    targets.accepted('10.0.0.1:80', 20.1)
    assert targets.may_resume(record(), 20.1)


def test_a_possible_restart_is_forgotten_as_a_later_break_was_none():
    # Regression: the connection after the second break cleared the first one too.
    entry, targets = make_targets('r1')
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.doubt(record(), 10.0)
    targets.doubt(record(), 11.0)
    targets.accepted('10.0.0.1:80', 11.1)
    assert not targets.may_resume(record(), 11.1)
    assert targets.may_resume(record(), 10.1 + DOUBT_S)


def test_of_breaks_that_come_together_the_first_counts():
    entry, targets = make_targets('r1')
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.doubt(record(), 10.0)
    targets.doubt(record(), 10.4)
    targets.accepted('10.0.0.1:80', 10.0 + RESTART_MIN_S)
    assert not targets.may_resume(record(), 10.6)


def test_a_replica_that_closed_an_idle_connection_early_may_have_restarted():
    entry, targets = make_targets('r1')
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.closed_early('10.0.0.1:80', 10.0, 10.0 + RESTART_MIN_S - 0.1)
    assert targets.may_resume(record(), 10.5)
    targets.closed_early('10.0.0.1:80', 10.0, 11.0)
    targets.doubt(record(), 11.1)
    targets.accepted('10.0.0.1:80', 11.2)
    assert not targets.may_resume(record(), 11.2)
    assert targets.may_resume(record(), 11.2 + DOUBT_S)


def test_while_one_version_serves_a_broken_connection_stops_no_stream():
    _, targets = make_targets('r1', 'r2')
    targets.doubt(record(), 10.0)
    assert targets.may_resume(record(), 10.1)


def test_a_break_that_is_read_after_a_standstill_counts_as_if_it_were_new():
    entry, targets = make_targets('r1', turns=Turns(stood_since=8.0))
    entry.directory.merge(record(replica='r2', software_version='v2'), 0.0)
    targets.doubt(record(), 10.0)
    targets.accepted('10.0.0.1:80', 10.01)
    assert not targets.may_resume(record(), 10.1)


def test_an_entry_that_has_just_started_cannot_tell_that_a_version_is_gone():
    _, targets = make_targets()
    assert not targets.is_version_gone(V1, 1.0)
    assert targets.is_version_gone(V1, 10.0)


def test_the_gates_of_replicas_that_are_gone_are_asked_too():
    routes = decode_configuration(json.dumps(VALID).encode())
    entry, targets = make_targets('r1', routes=lambda: routes)
    services = frozenset({'model'})
    assert targets.all_gates(services) == {'10.0.0.1:7002'}
    entry.directory.merge(record(replica='r2', address='10.0.0.2:80'), 1.0)
    entry.directory.depart('r1', 1.0)
    assert targets.all_gates(services) == {'10.0.0.1:7002', '10.0.0.2:7002'}
    assert targets.all_gates(frozenset({'plain'})) == frozenset()


def test_gates_become_known_with_the_configuration():
    in_force = []
    _, targets = make_targets('r1', routes=lambda: in_force[-1] if in_force else None)
    services = frozenset({'model'})
    assert targets.all_gates(services) == frozenset()
    in_force.append(decode_configuration(json.dumps(VALID).encode()))
    assert targets.all_gates(services) == {'10.0.0.1:7002'}


def test_a_draining_replica_that_backs_off_takes_no_stream():
    health = ReplicaHealth()
    entry, targets = make_targets('r1', health=health)
    health.asked_for_backoff('r1', record().born_ms, 5.0, 10.0)
    entry.directory.merge(draining(), 10.1)
    health.keep_only(targets.present())
    assert names_of_draining(targets, 10.2) == []
    assert not targets.may_resume(record(), 10.2)
