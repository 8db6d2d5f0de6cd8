"""No exchange of seeds and no loss of logs lets a second group form."""

from __future__ import annotations

import pytest

from tests.harness.document_faults import OTHERS, SEEDS
from tests.harness.peered_world import PeeredWorld


def first_records(world):
    """Return the first members that each live node's log begins with."""
    logs = [n.replica.log for n in world.nodes.values() if n.alive]
    return {log.get(1).members for log in logs if log.last_index}


def cut_apart(world, names):
    """Cut all links between some nodes and the others."""
    others = set(world.nodes) - set(names)
    world.net.cuts |= {(a, b) for a in names for b in others}
    world.net.cuts |= {(b, a) for a in names for b in others}


@pytest.mark.parametrize('seed', range(5))
def test_blank_nodes_named_as_seeds_form_no_group_beside_the_living_one(seed):
    # Such nodes have a disk, run since the first start, and never heard of the group.
    world = PeeredWorld(seed=seed, others=OTHERS, tolerated=2)
    cut_apart(world, OTHERS)
    world.run(3.0)
    assert world.leader().name in SEEDS
    world.exchange_seeds(OTHERS)
    world.run(5.0)
    assert len(first_records(world)) == 1
    world.net.cuts = set()
    world.run(6.0)
    assert len(first_records(world)) == 1
    assert world.in_group() == sorted(world.nodes)
    assert len(world.voters()) == 5


@pytest.mark.parametrize('seed', range(5))
def test_a_seed_in_place_of_the_one_that_formed_the_group_forms_no_other(seed):
    world = PeeredWorld(seed=seed, others=('c3',))
    former = min(SEEDS)
    while not world.nodes[former].replica.log.last_index:
        world.run(0.0001)
    # What it sent to the others is lost: it alone knows of the group.
    cut_apart(world, [former])
    world.exchange_seeds([*(n for n in SEEDS if n != former), 'c3'])
    world.run(3.0)
    world.net.cuts = set()
    world.run(6.0)
    assert len(first_records(world)) == 1
    assert world.in_group() == sorted(world.nodes)


def test_seeds_that_start_again_blank_form_no_group():
    world = PeeredWorld(seed=1)
    world.run(3.0)
    world.restart_blank(SEEDS)
    world.run(5.0)
    assert world.leader() is None
    assert not first_records(world)
