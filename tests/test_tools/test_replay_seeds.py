from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.replay_seeds import BROKEN, SEEDS_PATH, read_findings, run_day

if TYPE_CHECKING:
    from pathlib import Path

FAKE_BENCH = """#!/bin/sh
echo "day                  own/srv  score"
echo "$3                25/21   0.5 {end}"
"""


def make_kit(folder: Path, end: str) -> Path:
    """Return a kit whose days end with the given text."""
    program = folder / 'bin' / 'fleetbench'
    program.parent.mkdir()
    program.write_text(FAKE_BENCH.format(end=end))
    program.chmod(0o755)
    return folder


def test_every_finding_has_site_day_and_description():
    lines = read_findings(SEEDS_PATH)
    assert lines
    for line in lines:
        assert len(line) == 3
        assert all(line)


@pytest.mark.parametrize('end', ['', f'{BROKEN}: LOST 1'])
def test_result_line_shows_whether_a_rule_is_broken(tmp_path, end):
    result = run_day(make_kit(tmp_path, end), 'sites/x', 'mix --seed 1')
    assert result.startswith('mix')
    assert (BROKEN in result) == bool(end)


def test_day_without_result_line_raises(tmp_path):
    folder = make_kit(tmp_path, '')
    (folder / 'bin' / 'fleetbench').write_text('#!/bin/sh\necho no core\n')
    with pytest.raises(RuntimeError, match='no core'):
        run_day(folder, 'sites/x', 'mix --seed 1')
