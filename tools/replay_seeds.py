"""Replays days in which searches found faults, on the bench of the users' platform.

Needs the kit of the bench, so CI does not run it.  Each line of
deploy/seeds.txt names a site, a day with its seed, and what was found there.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

SEEDS_PATH = Path('deploy/seeds.txt')
FIELD_SEPARATOR = '|'
BROKEN = 'BROKEN'


def read_findings(path: Path) -> list[list[str]]:
    """Return the lines of a seeds file, each as site, day and finding."""
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return [
        [field.strip() for field in line.split(FIELD_SEPARATOR)]
        for line in lines
        if not line.startswith('#')
    ]


def run_day(kit: Path, site: str, day: str) -> str:
    """Run a day; return its result line, or raise `RuntimeError` if there is none."""
    command = [kit / 'bin/fleetbench', 'run', kit / f'{site}.toml', *day.split()]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    name = day.split()[0]
    for line in process.stdout.splitlines():
        if line.startswith(name):
            return line
    raise RuntimeError(f'{site} {day}: {process.stdout[-500:]}{process.stderr[-500:]}')


def main() -> int:
    """Replay all findings one after the other; return 1 if a rule is broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--kit', type=Path, required=True)
    args = parser.parse_args()
    exit_code = 0
    for site, day, finding in read_findings(SEEDS_PATH):
        result = run_day(args.kit, site, day)
        exit_code |= BROKEN in result
        print(f'{site} {day} ({finding}): {result}', flush=True)
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
