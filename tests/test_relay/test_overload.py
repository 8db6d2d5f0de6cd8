"""Three tiers before engines that are nearly or wholly in use."""

from __future__ import annotations

from tests.harness.gates_world import GatesWorld, JobKind

# Of a kind's worth, the least that users want to see earned on a calm day.
CALM_FLOOR = 0.45
SECONDS = 12.0

LONG_THIRD_TIER = (
    JobKind(
        tier=0,
        share=57,
        prompts=(1500, 2500, 4600),
        outputs=(30, 50, 70),
        objective_s=1.035,
        timeout_s=6.2,
        pause_s=0.8,
        deadline_spread=0.13,
    ),
    JobKind(
        tier=1,
        share=61,
        prompts=(900, 1500, 3000),
        outputs=(15, 25, 35),
        objective_s=0.819,
        timeout_s=4.1,
        pause_s=0.8,
        deadline_spread=0.13,
    ),
    JobKind(
        tier=2,
        share=32,
        prompts=(300, 500, 800),
        outputs=(140, 280, 420),
        objective_s=0.615,
        timeout_s=15.4,
        pause_s=0.8,
        deadline_spread=0.13,
    ),
)


def test_short_deadlines_do_not_make_the_third_tier_late(monkeypatch):
    world = GatesWorld(
        monkeypatch,
        entries=4,
        gates=4,
        seed=7,
        kinds=LONG_THIRD_TIER,
        callers_return=True,
    )
    world.play(SECONDS, 0.9)
    third = [job for job in world.jobs if job.kind.tier == 2]
    assert sum(job.is_in_time for job in third) >= CALM_FLOOR * len(third)
