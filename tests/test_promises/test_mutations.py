from __future__ import annotations

from pathlib import Path

import pytest

from tests.harness.schedules import calm_schedule, schedule
from tests.harness.script import run
from tests.harness.world import World

from . import mutations

SCENARIOS = Path(__file__).parent.parent / 'scenarios'

# Each mutation and what violates a guarantee with it: a scenario or random
# schedules.  The seeds that have shown violations before are tried first.
SCHEDULES = 'schedules'
CALM = 'calm schedules'
SEEDS = (12, 14, 15, 19, 26, *range(1, 80))
CASES = [
    (mutations.no_tombstone, 'late-dispatch-after-shedding'),
    (mutations.no_drained_release, 'departure-loses-a-bound-request'),
    (mutations.no_sign_of_life, CALM),
    (mutations.no_sync, 'whole-group-restarts'),
    (mutations.no_incarnation_check, 'dispatch-resent-to-a-new-process'),
    (mutations.no_fencing_check, 'late-order'),
    (mutations.no_lease_check, 'wake-with-expired-lease'),
    (mutations.no_gate_dedup, SCHEDULES),
    (mutations.no_claim, 'same-request-through-two-entries'),
    (mutations.no_refusal_commit, SCHEDULES),
    (mutations.no_refusal_order, SCHEDULES),
    (mutations.preempt_anything, SCHEDULES),
    (mutations.no_suspect_isolation, 'suspects-on-one-target'),
    (mutations.no_caught_up_check, SCHEDULES),
    (mutations.no_gap_check, SCHEDULES),
    (mutations.one_view_source, SCHEDULES),
]


@pytest.mark.parametrize(
    ('mutation', 'source'), CASES, ids=lambda v: getattr(v, '__name__', None)
)
def test_without_the_mechanism_a_guarantee_is_violated(monkeypatch, mutation, source):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            run(scenario_text(source, seed), seed)


def scenario_text(source, seed):
    if source == SCHEDULES:
        return schedule(seed)
    if source == CALM:
        return calm_schedule(seed)
    return (SCENARIOS / f'{source}.scenario').read_text()


def cut_off(world, name):
    for other in world.controls:
        if other != name:
            world.net.cuts |= {(name, other), (other, name)}


def leader_of(world):
    for control in world.controls.values():
        if control.core.group.replica.is_leader:
            return control
    return None


def isolate_leader():
    """Cut the leader off from the other replicas for 3 s; return it."""
    world = World(seed=1)
    world.net.run_until(3.0)
    leader = leader_of(world)
    cut_off(world, leader.name)
    world.net.run_until(6.0)
    return leader


def test_an_isolated_leader_steps_down(monkeypatch):
    assert not isolate_leader().core.group.replica.is_leader
    mutations.no_check_quorum(monkeypatch)
    assert isolate_leader().core.group.replica.is_leader


def terms_before_and_after_cut():
    """Cut a follower off for 10 s; return the leader's term before and after."""
    world = World(seed=1)
    world.net.run_until(3.0)
    leader = leader_of(world)
    follower = next(c for c in world.controls.values() if c is not leader)
    before = leader.core.group.replica.term
    cut_off(world, follower.name)
    world.net.run_until(13.0)
    world.net.cuts.clear()
    world.net.run_until(16.0)
    return before, max(c.core.group.replica.term for c in world.controls.values())


def test_a_returning_member_does_not_depose_the_leader(monkeypatch):
    before, after = terms_before_and_after_cut()
    assert after == before
    mutations.no_pre_vote(monkeypatch)
    before, after = terms_before_and_after_cut()
    assert after > before


def has_majority_with_a_lost_folder():
    """Tell whether two of three replicas elect a leader, one of them with no folder.

    What the third one has committed with the lost folder is not known to them.
    """
    world = World(seed=1)
    world.net.run_until(3.0)
    leader = leader_of(world)
    lost, behind = (c for c in world.controls.values() if c is not leader)
    behind.kill()
    world.net.run_until(4.0)
    for control in (leader, lost):
        control.kill()
    lost.lose_disk()
    for control in (lost, behind):
        control.start()
    world.net.run_until(14.0)
    return world.has_majority()


def test_a_lost_folder_does_not_vote(monkeypatch):
    # The schedules found this only as a leader that never sent such a follower
    # anything, which no longer happens: it is sent all records again.
    assert not has_majority_with_a_lost_folder()
    mutations.no_folder_identity(monkeypatch)
    assert has_majority_with_a_lost_folder()


def test_an_entry_that_misses_an_acceptance_is_found(monkeypatch):
    mutations.no_configuration_request(monkeypatch)
    with pytest.raises(AssertionError, match='after 4 s'):
        run(scenario_text('racing-operators', 1), 1)
