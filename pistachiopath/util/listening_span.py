"""Span in which a process has handled what arrived without a standstill."""

from __future__ import annotations

import math

import attrs

# Timers are due several times in this span.
STANDSTILL_S = 0.25


@attrs.define(kw_only=True)
class ListeningSpan:
    """Tells since when a process has listened, from the turns of one of its timers.

    After a standstill the timers of a process run before what arrived meanwhile is
    read.  Silence before `since` therefore says nothing of the silent one, and what
    is read right after it may have happened at any time before.  Turns that are late
    by less than `standstill_s` end no span: otherwise a busy process would never
    notice a silence.

    `now` is a monotonic clock in seconds.

    >>> listening = ListeningSpan()
    >>> [listening.turn(now) for now in (5.0, 5.05, 8.0, 8.05)]
    [False, False, True, False]
    >>> listening.since
    8.0
    """

    standstill_s: float = STANDSTILL_S
    since: float = -math.inf
    _turned_at: float = math.inf

    def turn(self, now: float) -> bool:
        """Record a turn; return whether it ends a standstill."""
        has_stood = now - self._turned_at >= self.standstill_s
        if has_stood:
            self.since = now
        self._turned_at = now
        return has_stood
