from __future__ import annotations

import pytest

from tests.harness.checkers import Violation
from tests.harness.world import World


def world_with_run(tier, *, resumable):
    """Return a world with one target that executes one run of a tier."""
    world = World(seed=1, targets=1, window=1, early_refusals=0)
    world.net.run_until(3.0)
    world.submit('r1', 'e0', tier=tier)
    world.net.run_until(3.02)
    (run,) = world.agents['t0'].core.gate.running()
    run.resumable = resumable
    return world


def test_a_promised_refusal_beside_pausable_work_is_a_violation():
    world = world_with_run(2, resumable=True)
    with pytest.raises(Violation, match='refused'):
        world.checkers.promised_refused('e0', 'a submission')


@pytest.mark.parametrize(('tier', 'resumable'), [(2, False), (0, True)])
def test_a_promised_refusal_beside_work_that_can_not_be_paused_is_allowed(
    tier, resumable
):
    world = world_with_run(tier, resumable=resumable)
    world.checkers.promised_refused('e0', 'a submission')
