from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.harness.schedules import calm_schedule
from tests.harness.script import run
from tools.sweep import sweep

SCENARIOS = sorted((Path(__file__).parent.parent / 'scenarios').glob('*.scenario'))
SEED = re.compile(r'^# seed (\d+)$', re.MULTILINE)
CI_SEEDS = range(500)
# At these seeds promised work was refused while other work could be paused.
REGRESSION_SEEDS = (102401, 105367, 108403)
CALM_SEEDS = range(200)
CHUNK = 50


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    text = path.read_text()
    seed = SEED.search(text)
    run(text, int(seed.group(1)) if seed else 1)


@pytest.mark.parametrize('first', CI_SEEDS[::CHUNK])
def test_random_schedules_keep_every_promise(first):
    assert sweep(first, first + CHUNK) == {}


@pytest.mark.parametrize('seed', REGRESSION_SEEDS)
def test_schedules_that_failed_once_keep_every_promise(seed):
    assert sweep(seed, seed + 1) == {}


@pytest.mark.parametrize('first', CALM_SEEDS[::CHUNK])
def test_planned_stops_and_killed_leaders_lose_no_request(first):
    for seed in range(first, first + CHUNK):
        world = run(calm_schedule(seed), seed)
        completed = {call.request for call in world.calls if _kind(call) == 'completed'}
        failed = {call.request for call in world.calls if _kind(call) == 'failed'}
        assert failed <= completed, (seed, failed - completed)


def _kind(call):
    return getattr(call.outcome, 'kind', call.outcome)
