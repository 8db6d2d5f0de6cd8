from __future__ import annotations

import pytest

from tests.harness.checkers import Violation
from tests.harness.world import World


def world_that_runs(tier, *, resumable):
    """One target with one run of a tier on its engine."""
    world = World(seed=1, targets=1, window=1, early_refusals=0)
    world.net.run_until(3.0)
    world.submit('r1', 'e0', tier=tier)
    world.net.run_until(3.02)
    (run,) = world.agents['t0'].core.gate.running()
    run.resumable = resumable
    return world


def test_a_promised_refusal_beside_work_that_could_be_paused_is_found():
    world = world_that_runs(2, resumable=True)
    with pytest.raises(Violation, match='refused'):
        world.checkers.promised_refused('e0', 'a submission')


@pytest.mark.parametrize(('tier', 'resumable'), [(2, False), (0, True)])
def test_work_that_can_not_give_way_does_not_count(tier, resumable):
    world = world_that_runs(tier, resumable=resumable)
    world.checkers.promised_refused('e0', 'a submission')
