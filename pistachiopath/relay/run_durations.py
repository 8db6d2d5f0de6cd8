"""How long recent requests of each route waited and ran."""

from __future__ import annotations

import collections

import attrs

MAX_ROUTES = 5000
MAX_RUNS_PER_ROUTE = 32
# Older runs say little about the targets' load.
MAX_AGE_S = 30.0


@attrs.define(kw_only=True, frozen=True)
class _Run:
    """Durations of one request in seconds, and the time of its end."""

    ended_at: float
    waited_s: float
    ran_s: float


class RunDurations:
    """Keeps the last runs of each route, to estimate how long the next may take.

    `now` is a monotonic clock in seconds.

    >>> durations = RunDurations()
    >>> durations.record('r', waited_s=0.1, ran_s=0.4, now=10.0)
    >>> durations.longest_run_s('r', 11.0)
    0.4
    >>> durations.longest_run_s('r', 99.0) is None
    True
    """

    def __init__(self) -> None:
        self._runs: dict[str, collections.deque[_Run]] = {}

    def record(self, route: str, *, waited_s: float, ran_s: float, now: float) -> None:
        """Record how long a request waited, and ran from its last send on."""
        if route not in self._runs and len(self._runs) >= MAX_ROUTES:
            self._runs.clear()
        runs = self._runs.setdefault(
            route, collections.deque(maxlen=MAX_RUNS_PER_ROUTE)
        )
        runs.append(_Run(ended_at=now, waited_s=waited_s, ran_s=ran_s))

    def longest_run_s(self, route: str, now: float) -> float | None:
        """Return the longest recent run in seconds, None if none is known."""
        return max((run.ran_s for run in self._recent(route, now)), default=None)

    def longest_wait_s(self, route: str, now: float) -> float:
        """Return the longest recent wait in seconds, 0 if none is known."""
        return max((run.waited_s for run in self._recent(route, now)), default=0.0)

    def _recent(self, route: str, now: float) -> list[_Run]:
        runs = self._runs.get(route, ())
        return [run for run in runs if now - run.ended_at < MAX_AGE_S]
