"""Broken-off runs of which it is not known whether their replica has ended."""

from __future__ import annotations

import attrs

from .broken_run import BrokenRun
from .content import Content

# A crash breaks all runs of a replica within this time.
SAME_CRASH_S = 0.3
# Evidence of a crash arrives within this time, with the next connection or
# announcement.
EVIDENCE_S = 6.0


@attrs.define(kw_only=True, frozen=True)
class _UnexplainedRun:
    """A broken-off run and what it consisted of."""

    contents: tuple[Content, ...]
    run: BrokenRun


class UnexplainedRuns:
    """Keeps broken-off runs by replica lifetime until there is evidence of a crash.

    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._runs: dict[str, list[_UnexplainedRun]] = {}

    def add(self, lifetime: str, contents: tuple[Content, ...], run: BrokenRun) -> None:
        """Add a run of these contents that a replica broke off."""
        unexplained = _UnexplainedRun(contents=contents, run=run)
        self._runs.setdefault(lifetime, []).append(unexplained)

    def lifetimes(self) -> tuple[str, ...]:
        """Return the replica lifetimes that broke off runs and may have crashed."""
        return tuple(self._runs)

    def take(self, lifetime: str, now: float) -> dict[Content, BrokenRun]:
        """Remove a lifetime that has ended; return what its crash broke off."""
        runs = self._runs.pop(lifetime, [])
        if not runs or _is_expired(runs, now):
            return {}
        last_at = runs[-1].run.broken_at
        return {
            content: unexplained.run
            for unexplained in runs
            if last_at - unexplained.run.broken_at < SAME_CRASH_S
            for content in unexplained.contents
        }

    def prune(self, now: float) -> None:
        """Remove the lifetimes for which no evidence has arrived in time."""
        for lifetime in [k for k, runs in self._runs.items() if _is_expired(runs, now)]:
            del self._runs[lifetime]


def _is_expired(runs: list[_UnexplainedRun], now: float) -> bool:
    return now - runs[-1].run.broken_at >= EVIDENCE_S
