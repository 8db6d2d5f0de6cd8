"""Priority queue of runs."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .run import Run


class RunQueue:
    """Waiting runs, ordered by `Run.priority`; removal from the heap is lazy."""

    def __init__(self) -> None:
        self._heap: list[tuple[tuple, Run]] = []
        self._waiting: dict[bytes, Run] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self):  # noqa: ANN204
        return iter(self._waiting.values())

    def push(self, run: Run) -> None:
        """Add a run."""
        self._waiting[run.key] = run
        heapq.heappush(self._heap, (run.priority, run))

    def peek(self) -> Run | None:
        """Return the run to start next, or None."""
        while self._heap:
            run = self._heap[0][1]
            if self._waiting.get(run.key) is run:
                return run
            heapq.heappop(self._heap)
        return None

    def pop(self) -> Run:
        """Remove and return the run to start next."""
        run = self.peek()
        heapq.heappop(self._heap)
        del self._waiting[run.key]
        return run

    def remove(self, run: Run) -> None:
        """Remove a run if it is in the queue."""
        if self._waiting.get(run.key) is run:
            del self._waiting[run.key]
