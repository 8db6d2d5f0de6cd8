"""Members whose folders are empty, and what leads them back into the group."""

from __future__ import annotations

import pytest

from tests.harness.document_faults import SEEDS
from tests.harness.peered_world import PeeredWorld

DISKLESS = ('d0', 'd1', 'd2')


def peered_world(seed=3, **changes):
    """Return a group of three disks and three nodes without one."""
    world = PeeredWorld(seed=seed, **changes)
    for name in DISKLESS:
        world.add(name, diskless=True)
    world.run(4.0)
    assert len(world.in_group()) == len(world.nodes)
    return world


def check_readable(world):
    """Check that the newest acknowledged version can be read."""
    reads = world.reads
    world.read()
    world.run(1.0)
    assert world.reads == reads + 1


@pytest.mark.parametrize('seed', range(5))
def test_an_acknowledged_version_is_not_lost_after_blank_seeds_restart_together(seed):
    # Regression (review/6): seeds that all lost their logs asked only one another.
    world = peered_world(seed)
    world.exchange_seeds(DISKLESS)
    world.run(2.0)
    world.restart_blank(DISKLESS)
    world.run(4.0)
    assert world.in_group() == sorted(world.nodes)
    world.remove('c2')
    world.run(1.0)
    world.add('c9')
    world.run(12.0)
    assert world.voters() == ['c0', 'c1', 'c9']
    world.put()
    world.run(0.5)
    assert world.acked
    world.restart_blank(['c1'])
    world.run(4.0)
    check_readable(world)


@pytest.mark.parametrize('seed', range(5))
def test_a_machine_of_the_core_joins_though_its_seeds_restart_blank_later(seed):
    world = peered_world(seed)
    world.exchange_seeds(DISKLESS)
    world.run(2.0)
    for name in DISKLESS:
        world.nodes[name].kill(power=True)
    world.remove(SEEDS[seed % 3])
    world.run(1.0)
    world.add('c9')
    world.run(6.0)
    for name in DISKLESS:
        world.nodes[name].lose_disk()
        world.nodes[name].start()
    world.run(6.0)
    assert world.in_group() == sorted(world.nodes)
    assert 'c9' in world.voters()


def test_blank_seeds_rejoin_while_no_leader_is_elected():
    world = peered_world()
    world.exchange_seeds(DISKLESS)
    world.run(2.0)
    for name in SEEDS:
        world.nodes[name].kill(power=True)
    world.restart_blank(DISKLESS)
    world.run(8.0)
    assert world.leader() is None
    for name in SEEDS:
        world.nodes[name].start()
    world.run(4.0)
    assert world.in_group() == sorted(world.nodes)
