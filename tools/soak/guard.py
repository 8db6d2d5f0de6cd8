"""Kills the programs of a soak when the soak itself has ended in any way.

The soak starts this as a process of its own and writes `+PID` and `-PID` lines to
its standard input, which ends with the soak.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

START_TIME_FIELD = 19


class Guard:
    """The soak's side: tells the guard which processes to look after."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'tools.soak.guard'],
            stdin=subprocess.PIPE,
            process_group=0,
            text=True,
        )

    def add(self, pid: int) -> None:
        """Kill this process when the soak ends."""
        self._write(f'+{pid}')

    def remove(self, pid: int) -> None:
        """Forget a process that has ended."""
        self._write(f'-{pid}')

    def close(self) -> None:
        """End the guard, which kills what was not removed."""
        self._process.stdin.close()
        self._process.wait()

    def _write(self, line: str) -> None:
        self._process.stdin.write(line + '\n')
        self._process.stdin.flush()


def start_time(pid: int) -> str:
    """Return when a process started, empty if there is none of that id."""
    try:
        text = Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return ''
    return text.rpartition(')')[2].split()[START_TIME_FIELD]


def main() -> None:
    """Read process ids until the end of the input, then kill those that remain."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    start_times: dict[int, str] = {}
    for line in sys.stdin:
        pid = int(line[1:])
        if line.startswith('+'):
            start_times[pid] = start_time(pid)
        else:
            start_times.pop(pid, None)
    for pid, started in start_times.items():
        if started and start_time(pid) == started:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)


if __name__ == '__main__':
    main()
