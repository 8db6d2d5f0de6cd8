"""Program `pistachiopath-load`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys

from ..util.program import EXIT_FAILED, EXIT_OK, parse_settings
from .caller import Caller
from .plan import make_plan
from .report import table
from .settings import LoadSettings
from .workload import WORKLOADS

PROGRESS_INTERVAL_REQUESTS = 10


def main() -> None:
    """Run a workload, print a table by tier, exit with 1 if any failed or was late."""
    cfg = parse_settings(
        'pistachiopath-load',
        'Sends the requests of a workload to entries and checks every answer.',
        LoadSettings,
    )
    plan = make_plan(
        WORKLOADS[cfg.workload],
        seed=cfg.seed,
        duration_s=cfg.duration_s,
        scale=cfg.scale,
        burst=cfg.burst,
    )
    caller = Caller(entries=cfg.entries, key_prefix=cfg.key_prefix)
    answer_count = 0

    def on_result(_result: object) -> None:
        nonlocal answer_count
        answer_count += 1
        if answer_count % PROGRESS_INTERVAL_REQUESTS == 0 or answer_count == len(plan):
            print(f'{cfg.workload}: {answer_count} of {len(plan)} answered', flush=True)

    results = caller.run_plan(plan, on_result)
    print(table(results))
    missed = [r for r in results if not r.in_time]
    for result in missed:
        print(f'missed: {result.arrival.kind.work} {result.status} {result.outcome}')
    sys.exit(EXIT_FAILED if missed else EXIT_OK)


if __name__ == '__main__':
    main()
