"""Runs the fault soak: `python -m tools.soak --seeds 1:3`.

Each seed starts the platform's programs as processes on loopback, with stand-ins
for callers, replicas and the operator, and disturbs them by the seed's plan.  The
exit code is 1 if a check fails.
"""

from __future__ import annotations

import argparse
import logging
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from pistachiopath.telemetry.logs import configure_logging

from .fault_kind import PLANNED_KINDS, USUAL_KINDS, FaultKind
from .plan import make_plan
from .run import run_seed
from .topology import Topology

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_LOGS = Path('/tmp/soak-logs')


def main() -> int:
    """Run the seeds one after the other; return the exit code."""
    args = _parser().parse_args()
    first, _, last = args.seeds.partition(':')
    seeds = range(int(first), int(last) if last else int(first) + 1)
    usual = PLANNED_KINDS if args.all else USUAL_KINDS
    kinds = frozenset(map(FaultKind, args.only)) or usual
    if args.plan:
        _print_plans(seeds, args.length, args.size, kinds)
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = []
    for seed in seeds:
        folder = args.logs / f'{time.strftime("%H%M%S")}-seed-{seed}'
        result = run_seed(
            seed, length_s=args.length, size=args.size, kinds=kinds, folder=folder
        )
        print(result.report)
        print(f'logs: {folder}', flush=True)
        if args.report:
            with args.report.open('a') as file:
                file.write(f'{result.report}\nlogs: {folder}\n\n')
        if result.violations:
            failed.append(seed)
    print(f'{len(seeds)} seeds, failed: {failed or "none"}')
    return 1 if failed else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m tools.soak', description=__doc__)
    parser.add_argument(
        '--seeds', default='1:4', help='first:last, last excluded, or one seed'
    )
    parser.add_argument(
        '--length', type=float, default=60.0, help='seconds in which faults take place'
    )
    parser.add_argument(
        '--size',
        type=int,
        default=1,
        help='1: 11 programs, and 5 more for each further',
    )
    parser.add_argument(
        '--all', action='store_true', help='plan also the kinds that are not borne yet'
    )
    parser.add_argument(
        '--only',
        nargs='+',
        default=(),
        choices=sorted(PLANNED_KINDS),
        metavar='KIND',
        help=f'plan only these kinds: {", ".join(sorted(PLANNED_KINDS))}',
    )
    parser.add_argument('--plan', action='store_true', help='print the plans only')
    parser.add_argument('--report', type=Path, help='file to append the reports to')
    parser.add_argument(
        '--logs', type=Path, default=DEFAULT_LOGS, help='folder for logs and records'
    )
    return parser


def _print_plans(
    seeds: Sequence[int], length_s: float, size: int, kinds: frozenset[FaultKind]
) -> None:
    topology = Topology.of_size(size)
    for seed in seeds:
        print(f'seed {seed}')
        for fault in make_plan(seed, length_s, topology, kinds).faults:
            print(f'  {fault}')


if __name__ == '__main__':
    configure_logging('soak', 'soak', 'warning')
    logging.captureWarnings(True)
    sys.exit(main())
