"""Tells since when what a process reads now may have been waiting."""

from __future__ import annotations

import math

# A turn that comes this much later than the one before was held up: the process
# stood still, or never got the processor.
MIN_STANDSTILL_S = 0.2
# Time after a standstill in which what arrived meanwhile is still being read.
CATCH_UP_S = 0.3


class TurnClock:
    """Notes the turns of a process's event loop.

    Bytes and broken connections are read after the fact.  In a process that stood
    still (stopped, without a processor, moved to another host) that may be much
    later: they may have come at any time since its last turn.  `now` is a monotonic
    clock in seconds.

    >>> clock = TurnClock()
    >>> clock.turn(10.0)
    >>> clock.may_have_come_at(10.05)
    10.0
    >>> clock.turn(12.0)
    >>> clock.may_have_come_at(12.01)
    10.0
    """

    def __init__(self) -> None:
        self._turned_at = -math.inf
        self._stood_since = -math.inf
        self._woke_at = -math.inf

    def turn(self, now: float) -> None:
        """Record a turn; to be called at a steady, short interval."""
        is_first = self._turned_at == -math.inf
        if not is_first and now - self._turned_at >= MIN_STANDSTILL_S:
            if now - self._woke_at >= CATCH_UP_S:
                self._stood_since = self._turned_at
            self._woke_at = now
        self._turned_at = now

    def may_have_come_at(self, now: float) -> float:
        """Return the earliest time at which what is read now may have arrived."""
        if now - self._woke_at < CATCH_UP_S:
            return self._stood_since
        return min(now, self._turned_at)

    def has_stood_still(self, now: float) -> bool:
        """Return whether what is read now may have waited for a standstill."""
        return now - self.may_have_come_at(now) >= MIN_STANDSTILL_S
