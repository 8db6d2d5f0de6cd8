"""Measures the slopes of docs/CAPACITY.md and writes the page from them."""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
from pathlib import Path

from tools import capacity_slopes, measure_decisions
from tools.capacity_page import render
from tools.probe import loop_s

RAW_PATH = Path('docs/capacity/raw.json')
RAW_SLOW_PATH = Path('docs/capacity/raw-slow.json')
PAGE_PATH = Path('docs/CAPACITY.md')


def fit(points):
    """Fit a line to values by size.

    Returns the slope, the intercept and the largest relative residual.
    """
    sizes = [float(size) for size in points]
    values = list(points.values())
    slope, intercept = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - slope * size - intercept) / value
        for size, value in zip(sizes, values, strict=True)
    )
    return slope, intercept, residual


def run_module(name):
    """Run a measuring module in its own process; return its figures."""
    command = [sys.executable, '-c', f'import json; from tools import {name}']
    command[-1] += f'; print(json.dumps({name}.main()))'
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    return json.loads(result.stdout.splitlines()[-1])


def measure():
    """Return all raw figures."""
    raw = json.loads(json.dumps(capacity_slopes.main()))
    raw['loop_s'] = loop_s()
    raw['decision, processor us'] = {
        str(n): v for n, v in measure_decisions.main().items()
    }
    raw['claims'] = run_module('measure_claims')
    raw['path'] = run_module('measure_path')
    return raw


def main():
    """Measure, write the raw figures and the page; with `--render` the page alone."""
    if '--render' not in sys.argv:
        RAW_PATH.write_text(json.dumps(measure(), indent=1) + '\n')
    slow = json.loads(RAW_SLOW_PATH.read_text())
    PAGE_PATH.write_text(render(json.loads(RAW_PATH.read_text()), slow, fit))


if __name__ == '__main__':
    main()
