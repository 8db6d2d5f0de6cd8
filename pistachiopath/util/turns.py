"""Turns of greenlets that always have something to do."""

from __future__ import annotations

import logging
import time

import gevent

logger = logging.getLogger(__name__)

# Longest time for which a reader keeps all others of the process waiting.
TURN_S = 0.005
# A read that takes longer has waited, so the others have run meanwhile.
WAITED_S = 0.0005
# A reader that never had to wait for so many bytes shares the limited turns.
MAX_UNLIMITED_BYTES = 32 * 1024
# Between two limited turns of all such readers together.
LIMITED_PAUSE_S = 0.02

# Share of the time in which all together may read further pieces of messages.
REST_SHARE = 0.5
# Time that they may work before one has to rest.
UNRESTED_S = 0.05
# A step between two turns takes no longer, unless the process stands still.
MAX_STEP_S = 0.02
LOG_INTERVAL_S = 1.0


class _SharedWork:
    """The time that the readers of the process have worked lately."""

    def __init__(self) -> None:
        self._rested_at = 0.0
        self._logged_at = -LOG_INTERVAL_S

    def rest_s(self, worked_s: float, now: float) -> float:
        """Return for how long to rest after some work, in seconds."""
        self._rested_at = max(self._rested_at, now) + worked_s / REST_SHARE
        rest_s = max(0.0, self._rested_at - now - UNRESTED_S)
        if rest_s and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logger.warning(
                'readers_rest',
                extra={
                    'rest_ms': round(rest_s * 1000, 1),
                    'worked_ms': round(worked_s * 1000, 1),
                },
            )
        return rest_s


_shared_work = _SharedWork()


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
    that the rest is left for the others.  `rest` is called before a further piece of
    a message is read: messages that take much work for few bytes get half of the time
    together, as readers that wait for each piece would never be limited.

    >>> turns = Turns()
    >>> turns.take()
    """

    def __init__(self, *, is_limited: bool = True) -> None:
        self._is_limited = is_limited
        self._began_at = time.monotonic()
        self._bytes = 0
        self._worked_s = 0.0
        self._working_since = self._began_at

    def begin(self) -> None:
        """Begin a message; what was done since the last read is not part of it."""
        self._worked_s = 0.0
        self._working_since = time.monotonic()

    def received(self, size: int, began_at: float) -> None:
        """Record a read of `size` bytes that began at a monotonic time in seconds."""
        now = time.monotonic()
        if now - began_at >= WAITED_S:
            self._began_at = now
            self._bytes = 0
        self._bytes += size
        self._working_since = now

    def rest(self) -> None:
        """Let the others run if all readers together have worked for long."""
        now = time.monotonic()
        self._count_work(now)
        rest_s = _shared_work.rest_s(self._worked_s, now)
        self._worked_s = 0.0
        if rest_s:
            gevent.sleep(rest_s)

    def take(self) -> None:
        """Let the others run if this turn is over."""
        now = time.monotonic()
        if now - self._began_at < TURN_S:
            return
        self._count_work(now)
        is_limited = self._is_limited and self._bytes > MAX_UNLIMITED_BYTES
        gevent.sleep(_limited_turns.reserve(now) if is_limited else 0)
        self._began_at = time.monotonic()
        self._working_since = self._began_at

    def _count_work(self, now: float) -> None:
        """Count the work since the last read or turn."""
        self._worked_s += min(MAX_STEP_S, now - self._working_since)
