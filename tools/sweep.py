"""Runs random schedules in virtual time; exits with 1 on a violation."""

from __future__ import annotations

import argparse
import os
import sys
import time
from multiprocessing import Pool
from typing import TYPE_CHECKING

from pistachiopath.routing.earliest_finish import EarliestFinish
from tests.harness.chooser import ScenarioChooser
from tests.harness.schedules import schedule
from tests.harness.script import run

if TYPE_CHECKING:
    from collections.abc import Iterable

CHOOSERS = (ScenarioChooser, EarliestFinish)
WORKERS = min(8, os.cpu_count() or 1)


def try_seed(seed: int) -> tuple[int, str]:
    """Run the schedule of a seed; return the seed and its failure, empty for none."""
    try:
        run(schedule(seed), seed, CHOOSERS[seed % len(CHOOSERS)])
    except Exception as exc:
        return seed, f'{type(exc).__name__}: {exc}'
    return seed, ''


def sweep(first: int, last: int) -> dict[int, str]:
    """Return the failures of the seeds from `first` up to before `last`."""
    return _failures(map(try_seed, range(first, last)))


def parallel_sweep(first: int, last: int) -> dict[int, str]:
    """Return the same as `sweep`, computed by several worker processes."""
    with Pool(WORKERS) as pool:
        return _failures(pool.imap_unordered(try_seed, range(first, last), 4))


def _failures(outcomes: Iterable[tuple[int, str]]) -> dict[int, str]:
    return {seed: failure for seed, failure in sorted(outcomes) if failure}


def main() -> int:
    """Run a range of seeds; print each failure and a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='0:500', help='first:last, last excluded')
    first, last = map(int, parser.parse_args().seeds.split(':'))
    started_at = time.monotonic()
    failures = parallel_sweep(first, last)
    for seed, failure in failures.items():
        print(f'seed {seed}: {failure}')
    elapsed_s = time.monotonic() - started_at
    print(f'{last - first} schedules, {len(failures)} failed, {elapsed_s:.1f} s')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
