"""Recent share of failed runs at one engine."""

from __future__ import annotations

# An engine may fail for a few seconds and be sound again right after.
HALF_LIFE_S = 1.0
# Successful runs that are assumed beside those seen, so that the failure of one run
# among few says little, and an engine without runs counts as sound again.
ASSUMED_SUCCESSES = 4.0


class FailureShare:
    """Share of failed runs, in which a run counts less the longer ago it ended.

    `now` is a monotonic clock in seconds.

    >>> share = FailureShare()
    >>> for _ in range(4):
    ...     share.record(is_failure=True, now=1.0)
    >>> share.value(1.0)
    0.5
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._failures = 0.0
        self._updated_at = 0.0

    def record(self, *, is_failure: bool, now: float) -> None:
        """Record the end of a run."""
        self._decay(now)
        self._runs += 1.0
        self._failures += is_failure

    def value(self, now: float) -> float:
        """Return the share, from 0 to below 1."""
        self._decay(now)
        return self._failures / (self._runs + ASSUMED_SUCCESSES)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        self._runs *= factor
        self._failures *= factor
        self._updated_at = now
