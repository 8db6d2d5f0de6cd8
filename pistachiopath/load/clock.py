"""Virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Runs actions in the order of their times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action some time later."""
        self._order += 1
        heapq.heappush(self._events, (self.now + delay, self._order, action))

    def run_until(self, end: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
