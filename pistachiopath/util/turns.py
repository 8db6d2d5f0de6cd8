"""Turns of greenlets that always have something to do."""

from __future__ import annotations

import time

import gevent

# Longest time for which a reader keeps all others of the process waiting.
TURN_S = 0.005
# A read that takes longer has waited, so the others have run meanwhile.
WAITED_S = 0.0005
# A reader that never had to wait for so many bytes shares the limited turns.
MAX_UNLIMITED_BYTES = 32 * 1024
# Between two limited turns of all such readers together.
LIMITED_PAUSE_S = 0.02


class _LimitedTurns:
    """The times of the limited turns of all readers of the process."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def reserve(self, now: float) -> float:
        """Return in how many seconds the next turn that is free begins."""
        turn_at = max(now, self._next_at) + LIMITED_PAUSE_S
        self._next_at = turn_at
        return turn_at - now


_limited_turns = _LimitedTurns()


class Turns:
    """Lets other greenlets and timers run while one reads what is always there.

    A socket that has data returns it without a switch to another greenlet, so a
    peer that writes without end would stop the process.  `take` is called before
    each piece of work, and `received` after each read.  With `is_limited`, readers
    that never wait get a quarter of the time together, however many they are, so
    that the rest is left for the others.

    >>> turns = Turns()
    >>> turns.take()
    """

    def __init__(self, *, is_limited: bool = True) -> None:
        self._is_limited = is_limited
        self._began_at = time.monotonic()
        self._bytes = 0

    def received(self, size: int, began_at: float) -> None:
        """Record a read of `size` bytes that began at a monotonic time in seconds."""
        now = time.monotonic()
        if now - began_at >= WAITED_S:
            self._began_at = now
            self._bytes = 0
        self._bytes += size

    def take(self) -> None:
        """Let the others run if this turn is over."""
        now = time.monotonic()
        if now - self._began_at < TURN_S:
            return
        is_limited = self._is_limited and self._bytes > MAX_UNLIMITED_BYTES
        gevent.sleep(_limited_turns.reserve(now) if is_limited else 0)
        self._began_at = time.monotonic()
