from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.harness.script import run
from tools.sweep import sweep

SCENARIOS = sorted((Path(__file__).parent.parent / 'scenarios').glob('*.scenario'))
SEED = re.compile(r'^# seed (\d+)$', re.MULTILINE)
CI_SEEDS = (0, 500)


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    text = path.read_text()
    seed = SEED.search(text)
    run(text, int(seed.group(1)) if seed else 1)


def test_random_schedules_keep_every_promise():
    assert sweep(*CI_SEEDS) == {}
