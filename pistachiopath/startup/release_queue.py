"""The order in which requests go on that waited after a start."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Waiting:
    """A waiting request: its tier, and until when its first event is on time."""

    number: int
    tier: int
    due_at: float


class ReleaseQueue:
    """Requests that may go on as soon as it is their turn.

    Lower tiers go first.  Of one tier, those go first that can still be on time, the
    one with the least time left before the others.

    >>> queue = ReleaseQueue()
    >>> for number, tier, due_at in ((1, 2, 5.0), (2, 0, 9.0), (3, 0, 1.0)):
    ...     queue.add(Waiting(number=number, tier=tier, due_at=due_at))
    >>> [queue.take(now=2.0).number for _ in range(len(queue))]
    [2, 3, 1]
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Add a request."""
        self._waiting[waiting.number] = waiting

    def remove(self, number: int) -> None:
        """Remove a request that no longer waits, if it is here."""
        self._waiting.pop(number, None)

    def take(self, now: float) -> Waiting | None:
        """Remove and return the request whose turn it is, None if there is none."""
        if not self._waiting:
            return None
        first = min(
            self._waiting.values(),
            key=lambda w: (w.tier, w.due_at < now, w.due_at, w.number),
        )
        return self._waiting.pop(first.number)
