"""A control node that goes on after a standstill."""

from __future__ import annotations

import pytest

from tests.harness.world import World

SYNC_STEP_S = 0.0007


def wake(control):
    """Let the timers run before what has arrived is read, as an event loop does."""
    control.frozen = False
    control.tick()
    control.thaw()


def run_until_synced(world):
    while any(control._syncing for control in world.controls.values()):
        world.net.run_until(world.net.now + SYNC_STEP_S)


@pytest.mark.parametrize('seed', range(3))
def test_targets_whose_heartbeats_were_not_read_yet_are_not_retired(seed):
    world = World(seed=seed, controls=1, targets=3)
    world.net.run_until(3.0)
    run_until_synced(world)
    before = {n: a.core.gate.incarnation for n, a in world.agents.items()}
    world.controls['c0'].freeze()
    world.net.run_until(15.0)
    wake(world.controls['c0'])
    world.net.run_until(18.0)
    assert {n: a.core.gate.incarnation for n, a in world.agents.items()} == before


def test_a_target_that_ended_in_a_standstill_is_retired_afterwards():
    world = World(seed=1, controls=1, targets=3)
    world.net.run_until(3.0)
    run_until_synced(world)
    world.controls['c0'].freeze()
    world.agents['t0'].kill()
    world.net.run_until(15.0)
    wake(world.controls['c0'])
    world.net.run_until(30.0)
    (control,) = world.controls.values()
    retired = {n for n, t in control.core.state.targets.items() if t.retired}
    assert retired == {'t0'}
