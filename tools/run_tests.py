"""Runs the tests, passes over the entries of KNOWN-RED.txt and prints them."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

KNOWN_RED = Path('KNOWN-RED.txt')
FIELD_SEPARATOR = '|'


def known_red() -> list[str]:
    """Return the lines of entries: test | command and seed | seen | issue."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith('#')]


def main() -> int:
    """Run pytest on everything that is not known to fail."""
    entries = known_red()
    deselected = []
    for entry in entries:
        print(f'KNOWN-RED {entry}')
        deselected += ['--deselect', entry.split(FIELD_SEPARATOR)[0].strip()]
    return pytest.main([*sys.argv[1:], *deselected])


if __name__ == '__main__':
    sys.exit(main())
