from __future__ import annotations

from pistachiopath.grants.watch import LoadWatch
from pistachiopath.relay.targets import Targets
from pistachiopath.routing.replica_health import ReplicaHealth
from tests.test_directory.records import record

from .parts import FakeEntry


def make_targets(*replicas):
    entry = FakeEntry(replicas)
    return entry, Targets(
        subscriber=entry,
        loads=LoadWatch(),
        agent_port=7002,
        routes=lambda: None,
        health=ReplicaHealth(),
    )


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
