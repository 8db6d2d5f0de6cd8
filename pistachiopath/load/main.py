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

PROGRESS_EVERY = 10


def main() -> None:
    """Play a workload, print a table by tier, exit with 1 if anything is off."""
    cfg = parse_settings(
        'pistachiopath-load',
        'Plays a workload against entries and checks every answer.',
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
    answered = 0

    def on_result(_result: object) -> None:
        nonlocal answered
        answered += 1
        if answered % PROGRESS_EVERY == 0 or answered == len(plan):
            print(f'{cfg.workload}: {answered} of {len(plan)} answered', flush=True)

    results = caller.play(plan, on_result)
    print(table(results))
    off = [r for r in results if not r.in_time]
    for result in off:
        print(f'off: {result.arrival.kind.work} {result.status} {result.outcome}')
    sys.exit(EXIT_FAILED if off else EXIT_OK)


if __name__ == '__main__':
    main()
