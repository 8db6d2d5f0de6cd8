"""Three tiers before engines that are nearly or wholly in use."""

from __future__ import annotations

from tests.harness.gate_jobs import JobKind
from tests.harness.gates_world import GatesWorld

# Of a kind's worth, the least that users want to see earned on a calm day.
CALM_FLOOR = 0.45
SECONDS = 12.0


def kind(tier, share, prompts, outputs, objective_s, timeout_s):
    """Return a kind whose callers wait for up to an eighth less than the timeout."""
    return JobKind(
        tier=tier,
        share=share,
        prompts=prompts,
        outputs=outputs,
        objective_s=objective_s,
        timeout_s=timeout_s,
        pause_s=0.8,
        deadline_spread=0.13,
    )


LONG_THIRD_TIER = (
    kind(0, 57, (1500, 2500, 4600), (30, 50, 70), 1.035, 6.2),
    kind(1, 61, (900, 1500, 3000), (15, 25, 35), 0.819, 4.1),
    kind(2, 32, (300, 500, 800), (140, 280, 420), 0.615, 15.4),
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
    world.play(SECONDS, 1.0)
    third = [job for job in world.jobs if job.kind.tier == 2]
    assert sum(job.is_in_time for job in third) >= CALM_FLOOR * len(third)


def begun_share(jobs):
    return sum(job.first_token_at is not None for job in jobs) / len(jobs)


def test_callers_with_half_of_a_stream_are_refused_no_more_often_than_new_ones(
    monkeypatch,
):
    world = GatesWorld(
        monkeypatch,
        entries=3,
        gates=4,
        seed=1,
        kinds=LONG_THIRD_TIER,
        resumed_share=0.08,
        old_gates=1,
    )
    world.play(6.0, 2.0)
    resumed = [job for job in world.jobs if job.is_resumed]
    new = [job for job in world.jobs if not job.is_resumed]
    assert len(resumed) >= 12
    assert begun_share(resumed) >= begun_share(new)
