"""Puts that come faster than the control nodes store them."""

from __future__ import annotations

import pytest

from pistachiopath.messages.document import PutReply
from pistachiopath.messages.replication import NotLeader
from tests.harness.document_faults import SEEDS
from tests.harness.document_world import DocumentWorld


@pytest.fixture
def world():
    world = DocumentWorld(seed=3)
    world.run(3.0)
    return world


def hold_followers(world):
    """Keep everything that the leader sends from arriving."""
    leader = world.leader().name
    world.net.holds = {(leader, other) for other in SEEDS if other != leader}


def count_of(world, message):
    return sum(isinstance(body, message) for body in world.replies)


def test_puts_that_are_overtaken_on_their_way_are_acknowledged_but_not_stored(world):
    # Regression: thirty documents in 6 s filled links and memory of control nodes.
    log = world.leader().replica.log
    before = log.last_index
    hold_followers(world)
    for _ in range(30):
        world.put()
    assert log.last_index == before + 1
    world.net.release()
    world.run(0.5)
    assert log.last_index == before + 2
    assert {n.core.version for n in world.nodes.values()} == {30}
    assert count_of(world, PutReply) == 30


def test_a_put_that_is_sent_again_is_stored_once(world):
    log = world.leader().replica.log
    before = log.last_index
    hold_followers(world)
    for _ in range(3):
        world._versions = 0
        world.put()
    world.net.release()
    world.run(0.5)
    world._versions = 0
    world.put()
    assert log.last_index == before + 1
    assert count_of(world, PutReply) == 4


def test_puts_that_wait_are_sent_on_to_the_next_leader(world):
    old_leader = world.leader().name
    others = [name for name in SEEDS if name != old_leader]
    world.net.cuts = {(old_leader, other) for other in others}
    for _ in range(4):
        world.put(old_leader)
    world.run(2.0)
    assert world.acked == 0
    assert count_of(world, NotLeader) == 4
    world.put()
    world.run(0.5)
    assert world.acked == 5
