"""Virtual clock of experiments."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Runs scheduled actions in the order of their times, in virtual seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._order += 1
        heapq.heappush(self._events, (self.now + delay_s, self._order, action))

    def run_until(self, end: float) -> None:
        """Run all actions due by a time and set the clock to it."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
