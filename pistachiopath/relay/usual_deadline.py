"""How long callers of one route usually wait, and who has waited before."""

from __future__ import annotations

import statistics
from collections import deque

SAMPLES = 256
MIN_SAMPLES = 16
# Callers that came back are in the lower half of the samples, so the spread is
# measured in the upper half.
SPREAD_FACTOR = 3.0
MIN_SPENT_S = 0.1
# A caller that got no answer comes back once or twice, and to any entry.
RETURNS_PER_FAILURE = 2.0
MAX_EXPECTED_RETURNS = 256.0


class UsualDeadline:
    """Tells callers that came back from those that state a shorter deadline.

    A request does not say whether its caller was refused before.  One whose
    deadline lies far below those that others of the route state is taken to
    have spent the difference to the median on earlier attempts; any other is
    taken for a first attempt.  For each caller that was sent away without an
    answer lately at most `RETURNS_PER_FAILURE` are taken to have come back.
    Deadlines are in seconds.

    >>> usual = UsualDeadline()
    >>> {usual.spent_s(deadline) for deadline in [15.0, 14.0, 13.5] * 6}
    {0.0}
    >>> usual.spent_s(9.0)
    0.0
    >>> usual.failed()
    >>> usual.spent_s(9.0)
    5.0
    """

    def __init__(self) -> None:
        self._deadlines: deque[float] = deque(maxlen=SAMPLES)
        self._expected_returns = 0.0

    def spent_s(self, deadline_s: float) -> float:
        """Record a deadline; return the seconds spent on earlier attempts."""
        spent_s = self._estimate(deadline_s)
        self._deadlines.append(deadline_s)
        self._expected_returns *= 1 - 1 / SAMPLES
        if spent_s and self._expected_returns < 1.0:
            return 0.0
        if spent_s:
            self._expected_returns -= 1.0
        return spent_s

    def failed(self) -> None:
        """Record that a caller was sent away without an answer."""
        expected = self._expected_returns + RETURNS_PER_FAILURE
        self._expected_returns = min(MAX_EXPECTED_RETURNS, expected)

    def _estimate(self, deadline_s: float) -> float:
        if len(self._deadlines) < MIN_SAMPLES:
            return 0.0
        _, median, upper = statistics.quantiles(self._deadlines, n=4)
        lowest = median - max(MIN_SPENT_S, SPREAD_FACTOR * (upper - median))
        return median - deadline_s if deadline_s < lowest else 0.0
