"""Retry budget that entries keep without exchanging messages."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.define(kw_only=True, frozen=True)
class RetryBudgetLimits:
    """Bound on retries by all entries together.

    In any `window_s` seconds it is `ratio` of the requests plus `slack`.
    """

    ratio: float
    slack: float
    window_s: float


# Margin for requests that other entries have counted in other windows.
SAFETY_FACTOR = 0.75


class RetryBudget:
    """Limits the retries of one entry for one service.

    The budget is a part of its own recent requests and its share of the slack.
    The sum over all entries then stays below the bound, whichever of them can
    reach each other.
    """

    def __init__(self, *, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def allows(self, now: float, entries: int) -> bool:
        """Return whether a retry is allowed; `entries` share the slack."""
        self._forget(now)
        by_requests = self._limits.ratio * len(self._requests)
        share = self._limits.slack / max(1, entries)
        return len(self._retries) + 1 <= SAFETY_FACTOR * (by_requests + share)

    def take(self, now: float, entries: int) -> bool:
        """Count a retry if it is allowed; return whether it is."""
        if not self.allows(now, entries):
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
