"""Reads the resource use of a process from /proc."""

from __future__ import annotations

import os
import time
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
LOOP_ADDITIONS = 10_000_000


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def loop_s() -> float:
    """Return the seconds of ten million additions, as the speed of the machine."""
    started_at = time.perf_counter()
    total = 0
    for number in range(LOOP_ADDITIONS):
        total += number
    return time.perf_counter() - started_at
