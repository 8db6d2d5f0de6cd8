"""Retention of ended runs and their answers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .limits import GateLimits
    from .run import Run


class Retention:
    """Drops answers by age and by bytes, then records by age."""

    def __init__(self, *, limits: GateLimits) -> None:
        self._limits = limits
        self._ended: deque[Run] = deque()
        self._answers: deque[Run] = deque()
        self._bytes = 0

    def add_ended(self, run: Run) -> None:
        """Retain a run that ended, with its answer."""
        self._ended.append(run)
        self._answers.append(run)
        self._bytes += len(run.answer)

    def add_tombstone(self, run: Run) -> None:
        """Retain the tombstone of a run that never started."""
        self._ended.append(run)

    def forget(self, now: float) -> Iterator[tuple[bytes, Run]]:
        """Drop answers beyond their age or total size; yield the expired runs."""
        limits = self._limits
        while self._answers and (
            self._bytes > limits.max_retained_bytes
            or now - self._answers[0].ended_at >= limits.answer_retention_s
        ):
            run = self._answers.popleft()
            self._bytes -= len(run.answer)
            run.answer = bytearray()
            run.answer_held = False
        while self._ended and now - self._ended[0].ended_at >= limits.retention_s:
            run = self._ended.popleft()
            yield run.key, run
