"""Runs all tests but those listed in KNOWN-RED.txt, which it prints."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

KNOWN_RED = Path('KNOWN-RED.txt')
FIELD_SEPARATOR = '|'
MAX_WORKERS = 6
# These tests start processes and wait for them, so they run one at a time.
SYSTEM_TESTS = 'tests/test_system'


def read_known_red() -> list[str]:
    """Return the entries, each `test | command and seed | seen | issue`."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith('#')]


def main() -> int:
    """Run pytest on all tests that are not known to fail.

    Tests in virtual time run in parallel, and those with real processes after
    them.  If there are arguments, they go to a single run of pytest instead.
    """
    entries = read_known_red()
    deselected = []
    for entry in entries:
        print(f'KNOWN-RED {entry}')
        deselected += ['--deselect', entry.split(FIELD_SEPARATOR)[0].strip()]
    if len(sys.argv) > 1:
        return run_pytest(*sys.argv[1:], *deselected)
    workers = str(min(MAX_WORKERS, os.cpu_count() or 1))
    # The longest tests are adjacent, so idle workers steal tests from others.
    parallel_args = ('-n', workers, '--dist', 'worksteal')
    parallel_exit_code = run_pytest(
        *parallel_args, '--ignore', SYSTEM_TESTS, *deselected
    )
    return run_pytest(SYSTEM_TESTS, *deselected) or parallel_exit_code


def run_pytest(*args: str) -> int:
    """Return the exit code of one run of pytest."""
    return subprocess.run(
        [sys.executable, '-m', 'pytest', *args], check=False
    ).returncode


if __name__ == '__main__':
    sys.exit(main())
