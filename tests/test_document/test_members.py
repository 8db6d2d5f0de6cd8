from __future__ import annotations

import pytest

from pistachiopath.messages.replication import Probe
from tests.harness.document_faults import OTHERS, SEEDS
from tests.harness.document_world import DocumentWorld

from .worlds import formed_world, world_led_by_no_seed


def test_the_group_grows_to_the_voters_that_the_tolerated_losses_need():
    world = formed_world(others=('c3', 'c4', 'c5'), tolerated=2)
    world.run(5.0)
    assert len(world.voters()) == 5
    assert len(world.leader().replica.members) == 6


@pytest.mark.parametrize('lost_member', SEEDS)
def test_a_member_lost_for_good_is_replaced_by_one_at_a_new_address(lost_member):
    world = formed_world()
    world.put()
    world.run(0.5)
    world.nodes[lost_member].kill(power=True)
    world.run(1.8)
    world.add('c9')
    world.run(6.0)
    assert 'c9' in world.voters()
    assert lost_member not in world.voters()
    # The group now tolerates the loss of another member.
    other = next(n for n in SEEDS if n != lost_member)
    world.nodes[other].kill(power=True)
    world.nodes[other].lose_disk()
    world.run(4.0)
    world.put()
    world.run(1.0)
    assert world.acked == 2


def test_a_successor_started_before_a_planned_stop_takes_over():
    world = formed_world()
    world.add('c9')
    world.run(2.0)
    assert world.voters() == list(SEEDS)
    world.nodes['c1'].kill()
    world.run(6.0)
    assert world.voters() == ['c0', 'c2', 'c9']


def test_a_member_removed_while_it_was_down_rejoins_as_a_learner():
    world = formed_world(others=('c3',))
    world.run(2.0)
    world.nodes['c1'].kill()
    world.run(6.0)
    assert 'c3' in world.voters()
    world.nodes['c1'].start()
    world.run(4.0)
    members = {m.address: m.voter for m in world.leader().replica.members}
    assert members['c1'] is False


def test_an_empty_disk_at_the_old_address_never_forms_a_group():
    world = formed_world()
    world.put()
    world.run(0.5)
    for name in SEEDS[1:]:
        world.nodes[name].kill()
    world.nodes['c0'].kill()
    world.nodes['c0'].lose_disk()
    world.nodes['c0'].start()
    world.run(5.0)
    assert world.leader() is None
    for name in SEEDS[1:]:
        world.nodes[name].start()
    world.run(4.0)
    world.read()
    world.run(1.0)
    assert world.reads == 1
    assert world.nodes['c0'].core.version == 1


def test_a_diskless_node_follows_and_passes_puts_on_but_never_votes():
    world = formed_world(tolerated=2)
    for name in ('d0', 'd1'):
        world.add(name, diskless=True)
    world.run(3.0)
    assert world.voters() == sorted(SEEDS)
    assert world.nodes['d0'].core.leader == world.leader().name
    version = world.put()
    world.run(0.5)
    assert world.nodes['d1'].core.version == version
    world.nodes['d1'].kill()
    world.run(0.5)
    world.nodes['d1'].start()
    world.run(3.0)
    assert world.nodes['d1'].core.version == version
    assert world.voters() == sorted(SEEDS)


def test_a_diskless_seed_neither_forms_a_group_nor_votes_in_it():
    world = DocumentWorld(seed=5, seeds=('c1', 'c2', 'c3'), tolerated=1)
    for name in world.seeds:
        world.nodes[name].kill()
        world.nodes[name].lose_disk()
    world.seeds = ('c0', 'c1', 'c2')
    world.add('c0', forms=True, diskless=True)
    for name in ('c1', 'c2'):
        world.add(name, forms=True)
    world.run(3.0)
    assert world.voters() == ['c1', 'c2']


def test_an_empty_disk_rejoins_though_the_leader_is_not_a_seed():
    world = world_led_by_no_seed()
    node = world.nodes['c1']
    node.kill(power=True)
    node.lose_disk()
    world.run(0.5)
    node.start()
    world.run(3.0)
    assert world.leader().name not in SEEDS
    assert node.replica.member in {m.member for m in world.leader().replica.members}


def test_a_voter_that_is_cut_off_is_replaced_before_it_is_removed():
    # Regression: the group had four voters meanwhile, and two lost disks stopped it.
    world = formed_world(others=OTHERS, tolerated=2)
    world.run(3.0)
    world.put()
    world.run(0.5)
    cut = next(n for n in world.voters() if n != world.leader().name)
    for other in world.nodes:
        if other != cut:
            world.net.cuts |= {(cut, other), (other, cut)}
    fewest = 5
    for _ in range(300):
        world.run(0.02)
        fewest = min(fewest, len(world.voters()))
    assert fewest == 5
    assert cut not in world.voters()


def test_empty_disks_rejoin_though_no_seed_is_in_the_group():
    # Regression: the only seed with a log had been removed and knew no leader.
    world = world_led_by_no_seed()
    world.nodes['c1'].kill()
    world.run(8.0)
    assert 'c1' not in world.voters()
    for name in ('c0', 'c2'):
        world.nodes[name].kill(power=True)
        world.nodes[name].lose_disk()
    world.run(0.2)
    for name in SEEDS:
        world.nodes[name].start()
    world.run(4.0)
    assert len(world.voters()) == 5
    members = {m.member for m in world.leader().replica.members}
    assert {world.nodes[name].replica.member for name in SEEDS} <= members


@pytest.mark.parametrize('diskless', [True, False])
def test_a_learner_removed_while_it_was_cut_off_rejoins(diskless):
    # Regression: it kept the leader that it knew, so it never asked for the group.
    world = formed_world()
    world.add('c9', diskless=diskless)
    world.run(3.0)
    for other in SEEDS:
        world.net.cuts |= {('c9', other), (other, 'c9')}
    world.run(17.0)
    assert 'c9' not in {m.address for m in world.leader().replica.members}
    world.net.cuts = set()
    world.run(3.0)
    assert 'c9' in {m.address for m in world.leader().replica.members}
    version = world.put()
    world.run(0.5)
    assert world.nodes['c9'].core.version == version


def test_a_learner_names_no_leader_that_it_has_not_heard_for_long():
    world = formed_world()
    world.add('c9', diskless=True)
    world.run(3.0)
    assert world.nodes['c9'].core.leader == world.leader().name
    for name in SEEDS:
        world.nodes[name].kill()
    world.run(3.0)
    assert world.nodes['c9'].core.leader == ''


@pytest.mark.parametrize('is_of_leader', [True, False])
def test_a_late_question_of_a_former_folder_removes_no_member_that_is_heard(
    is_of_leader,
):
    world = formed_world()
    leader = world.leader()
    other = next(name for name in SEEDS if name != leader.name)
    address = leader.name if is_of_leader else other
    question = Probe(member='former', address=address)
    before = leader.replica.members
    leader.receive('c9', 0, question)
    world.run(0.5)
    assert world.leader() is leader
    assert leader.replica.members == before
