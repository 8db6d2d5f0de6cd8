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


class UsualDeadline:
    """Tells callers that came back from those that state a shorter deadline.

    A request does not say whether its caller was refused before.  One whose
    deadline lies far below those that others of the route state is taken to
    have spent the difference to the median on earlier attempts; any other is
    taken for a first attempt.  Deadlines are in seconds.

    >>> usual = UsualDeadline()
    >>> {usual.spent_s(deadline) for deadline in [15.0, 14.0, 13.5] * 6}
    {0.0}
    >>> usual.spent_s(9.0)
    5.0
    """

    def __init__(self) -> None:
        self._deadlines: deque[float] = deque(maxlen=SAMPLES)

    def spent_s(self, deadline_s: float) -> float:
        """Record a deadline; return the seconds spent on earlier attempts."""
        spent_s = self._estimate(deadline_s)
        self._deadlines.append(deadline_s)
        return spent_s

    def _estimate(self, deadline_s: float) -> float:
        if len(self._deadlines) < MIN_SAMPLES:
            return 0.0
        _, median, upper = statistics.quantiles(self._deadlines, n=4)
        lowest = median - max(MIN_SPENT_S, SPREAD_FACTOR * (upper - median))
        return median - deadline_s if deadline_s < lowest else 0.0
