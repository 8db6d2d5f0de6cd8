"""Entries that start beside control nodes whose configuration is not the newest."""

from __future__ import annotations

import pytest

from pistachiopath.document.core import COMPACT_ENTRIES
from tests.harness.document_faults import SEEDS
from tests.harness.peered_world import PeeredWorld

from .test_one_group import cut_apart

DISKLESS = ('d0', 'd1', 'd2')
# An entry in touch with control nodes has the newest configuration after this time.
IN_FORCE_S = 4.0


def world_with_an_outdated_disk(seed, *, diskless=()):
    """Return a world whose node c0 missed the newest version, and all are down.

    The log of c0 is long enough to have been replaced by a snapshot, which a node
    publishes at once when it starts.
    """
    world = PeeredWorld(seed=seed)
    for name in diskless:
        world.add(name, diskless=True)
    world.run(4.0)
    for _ in range(COMPACT_ENTRIES):
        world.put()
        world.run(0.05)
    world.nodes['c0'].kill(power=True)
    assert world.nodes['c0'].replica.log.base_index
    world.run(2.0)
    newest = world.put()
    world.run(1.0)
    assert world.acked == newest
    for node in world.nodes.values():
        node.kill(power=True)
    world.run(1.0)
    return world


@pytest.mark.parametrize('seed', range(5))
def test_an_entry_beside_an_outdated_control_node_takes_the_newest_version(seed):
    world = world_with_an_outdated_disk(seed)
    world.nodes['c0'].start()
    entry = world.add_entry('e0')
    world.run(5.0)
    assert 0 < entry.version < world.acked
    world.nodes['c1'].start()
    world.run(IN_FORCE_S)
    assert entry.version == world.acked


@pytest.mark.parametrize('seed', range(5))
def test_an_entry_is_led_to_the_newest_version_by_an_outdated_node_alone(seed):
    world = world_with_an_outdated_disk(seed, diskless=DISKLESS)
    world.exchange_seeds(['c0'])
    entry = world.add_entry('e0')
    world.nodes['c0'].start()
    world.run(2.0)
    assert 0 < entry.version < world.acked
    for name in SEEDS[1:]:
        world.nodes[name].start()
    world.run(IN_FORCE_S)
    assert entry.version == world.acked


@pytest.mark.parametrize('seed', range(5))
def test_an_entry_that_restarts_beside_blank_seeds_takes_the_newest_version(seed):
    world = PeeredWorld(seed=seed)
    for name in DISKLESS:
        world.add(name, diskless=True)
    world.run(4.0)
    world.exchange_seeds(DISKLESS)
    entry = world.add_entry('e0')
    world.put()
    world.run(2.0)
    assert entry.version == world.acked == 1
    world.put()
    world.run(0.1)
    world.restart_blank(DISKLESS)
    entry.start()
    world.run(IN_FORCE_S)
    assert entry.version == world.acked == 2


@pytest.mark.parametrize('seed', range(5))
def test_an_entry_is_told_of_the_members_that_its_only_control_node_cannot_reach(seed):
    # Regression: an entry that started beside a seed that was cut off from the group
    # went on with that seed's old configuration, as nobody named another control node.
    world = world_with_an_outdated_disk(seed)
    world.exchange_seeds(['c0', 'gone1', 'gone2'])
    cut_apart(world, ['c0'])
    for name in SEEDS:
        world.nodes[name].start()
    world.run(5.0)
    entry = world.add_entry('e0')
    world.run(IN_FORCE_S)
    assert entry.version == world.acked
