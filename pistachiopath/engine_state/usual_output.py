"""Bound on the output that a request is expected to make."""

from __future__ import annotations

SMOOTHING = 0.1
MIN_RUNS = 10
# Sizes within a tier differ by a factor of ten, so outputs of a few times the usual
# one are believed.
MAX_FACTOR = 4.0


class UsualOutput:
    """Learns by tier how many output tokens runs were worth.

    A request states its maximum, which may be far above what it makes.  Without a
    bound, one such request that waits would let others be denied or sent elsewhere.
    """

    def __init__(self) -> None:
        self._runs: dict[int, int] = {}
        self._means: dict[int, float] = {}

    def record(self, tier: int, tokens: float) -> None:
        """Record a run that held its place for the time of so many tokens."""
        runs = self._runs[tier] = self._runs.get(tier, 0) + 1
        mean = self._means.get(tier, 0.0)
        self._means[tier] = mean + max(SMOOTHING, 1 / runs) * (tokens - mean)

    def expected(self, tier: int, maximum: int) -> int:
        """Return the output to expect of a request that states its maximum."""
        if self._runs.get(tier, 0) < MIN_RUNS:
            return maximum
        return min(maximum, round(MAX_FACTOR * self._means[tier]))
