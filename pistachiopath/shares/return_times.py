"""When denied callers should come back."""

from __future__ import annotations

# Returns are spread over at most this time behind the backlog.  Callers retry
# within a third of their remaining time, which is seconds, so later times have no
# effect.
MAX_SPREAD_S = 2.0


class ReturnTimes:
    """Spreads returning callers over time, at the pace of the engine.

    Each denied caller is told the time at which the backlog ahead of it will be
    done, or a later one by which the engine can also serve those denied just before.

    >>> times = ReturnTimes()
    >>> times.retry_ms(wait_ms=500.0, work_ms=100.0, now=0.0)
    500.0
    >>> times.retry_ms(wait_ms=500.0, work_ms=100.0, now=0.0)
    600.0
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def retry_ms(self, *, wait_ms: float, work_ms: float, now: float) -> float:
        """Return the milliseconds after which a denied caller should retry.

        `wait_ms` is the wait behind the backlog, and `work_ms` the time in which the
        engine does the work of this request.
        """
        backlog_done_at = now + wait_ms / 1000
        if not backlog_done_at <= self._next_at <= backlog_done_at + MAX_SPREAD_S:
            self._next_at = backlog_done_at
        retry_at = self._next_at
        self._next_at += work_ms / 1000
        return (retry_at - now) * 1000
