"""Watches what the machine gives to the programs and to the soak itself."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from ..probe import rss_mb
from .fault import FaultRecord
from .fault_kind import FaultKind
from .operations import Usage

if TYPE_CHECKING:
    from .fleet import Fleet
    from .history import History

SAMPLE_INTERVAL_S = 1.0
NS_PER_S = 1e9
# A program that waits for a processor for this part of the time counts as slowed.
MAX_WAITING_SHARE = 0.5
TICK_S = 0.05
MAX_LATE_S = 0.3


class Sampler:
    """Samples memory, descriptors and waiting time of all programs.

    On a busy machine a program may wait long for a processor, and so may the soak:
    both are recorded as faults, because time bounds do not hold meanwhile.
    """

    def __init__(self, *, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._waited_s: dict[int, float] = {}

    def run(self) -> None:
        """Sample all programs for ever."""
        sampled_at = time.monotonic()
        while True:
            gevent.sleep(SAMPLE_INTERVAL_S)
            now = time.monotonic()
            for name, program in self._fleet.programs.items():
                if not program.is_down:
                    self._sample(name, program.pid, sampled_at, now)
            sampled_at = now

    def _sample(self, name: str, pid: int, since: float, now: float) -> None:
        try:
            usage = Usage(
                program=name,
                pid=pid,
                at=now,
                rss_mb=rss_mb(pid),
                descriptors=len(os.listdir(f'/proc/{pid}/fd')),
            )
            waited_s = _waited_s(pid)
        except OSError:
            # The process has ended; the fleet notices that.
            return
        self._history.usages.append(usage)
        before_s = self._waited_s.get(pid, waited_s)
        self._waited_s[pid] = waited_s
        if waited_s - before_s > MAX_WAITING_SHARE * (now - since):
            self._record(FaultKind.PROGRAM_STARVED, name, since, now)

    def watch_itself(self) -> None:
        """Record for ever when the soak's own timers are late."""
        while True:
            due_at = time.monotonic() + TICK_S
            gevent.sleep(TICK_S)
            now = time.monotonic()
            if now - due_at > MAX_LATE_S:
                self._record(FaultKind.SOAK_LATE, '', due_at, now)

    def _record(self, kind: FaultKind, name: str, since: float, now: float) -> None:
        record = FaultRecord(kind=kind, target=name, began_at=since, ended_at=now)
        self._history.faults.append(record)


def _waited_s(pid: int) -> float:
    """Return how long a process was ready to run without a processor, in seconds."""
    return int(Path(f'/proc/{pid}/schedstat').read_text().split()[1]) / NS_PER_S
