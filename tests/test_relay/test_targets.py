from __future__ import annotations

from pistachiopath.grants.watch import LoadWatch
from pistachiopath.relay.targets import Targets
from tests.test_directory.records import record

from .parts import Known


def known_targets(*replicas):
    known = Known(replicas)
    return known, Targets(
        subscriber=known, loads=LoadWatch(), agent_port=7002, routes=lambda: None
    )


def names(targets):
    return [r.replica for r in targets.ready()]


def test_a_lifetime_that_is_over_is_not_used_again():
    known, targets = known_targets('r1', 'r2')
    targets.ended(record(replica='r1'), 5.0)
    assert names(targets) == ['r2']
    # The control nodes still tell of it as it last announced itself.
    known.directory.merge(record(replica='r1', sequence=2), 5.1)
    assert names(targets) == ['r2']


def test_a_later_lifetime_of_the_same_name_is_used():
    known, targets = known_targets('r1')
    targets.ended(record(replica='r1'), 5.0)
    known.directory.merge(record(replica='r1', born_ms=9000), 6.0)
    assert names(targets) == ['r1']
    # A late word about the earlier one changes nothing.
    targets.ended(record(replica='r1'), 6.1)
    assert names(targets) == ['r1']
