"""Worlds whose control nodes have formed a group."""

from __future__ import annotations

from tests.harness.document_faults import OTHERS, SEEDS
from tests.harness.document_world import DocumentWorld


def formed_world(**changes):
    world = DocumentWorld(seed=3, **changes)
    world.run(3.0)
    assert world.leader() is not None
    return world


def world_led_by_no_seed():
    world = formed_world(others=OTHERS, tolerated=2)
    world.run(3.0)
    while world.leader().name in SEEDS:
        leader = world.leader()
        leader.kill()
        world.run(2.0)
        leader.start()
        world.run(2.0)
    return world
