"""Memory for answers that an entry holds until their callers can have them."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

import gevent.event

if TYPE_CHECKING:
    from collections.abc import Iterator

logger = logging.getLogger(__name__)

# A part of each answer that is not counted.
FREE_BYTES = 64 * 1024
MAX_SHARED_BYTES = 12 * 1024 * 1024


class HeldAnswer:
    """The bytes that one request holds of its answer."""

    def __init__(self, *, memory: AnswerMemory) -> None:
        self.counted_bytes = 0
        self._memory = memory

    def resize(self, size: int) -> None:
        """Hold `size` bytes from now on; wait while there is no room for more."""
        self._memory.resize(self, max(0, size - FREE_BYTES))


class AnswerMemory:
    """Bounds what all answers in progress take together, beyond a small part each.

    An answer that needs more waits, and is not read meanwhile, so that its target
    has to wait as well.  The one that has held memory for longest never waits:
    otherwise all could wait for one another.  In all they hold at most `max_bytes`
    and one answer.

    >>> memory = AnswerMemory(max_bytes=1000)
    >>> with memory.hold() as held:
    ...     held.resize(100)
    """

    def __init__(self, *, max_bytes: int = MAX_SHARED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._holders: dict[HeldAnswer, None] = {}
        self._freed = gevent.event.Event()

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held, without the free part of each answer."""
        return sum(held.counted_bytes for held in self._holders)

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldAnswer]:
        """Return an answer's share, which ends with the context."""
        held = HeldAnswer(memory=self)
        try:
            yield held
        finally:
            self._release(held)

    def resize(self, held: HeldAnswer, counted_bytes: int) -> None:
        """Change what an answer holds, after a wait if there is no room for it."""
        if counted_bytes <= held.counted_bytes:
            self._shrink(held, counted_bytes)
            return
        has_waited = False
        while not self._has_room(held, counted_bytes):
            if not has_waited:
                self._log_wait(counted_bytes)
            has_waited = True
            self._freed.clear()
            self._freed.wait()
        self._holders.setdefault(held)
        held.counted_bytes = counted_bytes

    def _has_room(self, held: HeldAnswer, counted_bytes: int) -> bool:
        if next(iter(self._holders), held) is held:
            return True
        growth = counted_bytes - held.counted_bytes
        return self.held_bytes + growth <= self._max_bytes

    def _shrink(self, held: HeldAnswer, counted_bytes: int) -> None:
        if not counted_bytes:
            self._release(held)
            return
        if counted_bytes < held.counted_bytes:
            held.counted_bytes = counted_bytes
            self._freed.set()

    def _release(self, held: HeldAnswer) -> None:
        held.counted_bytes = 0
        if held in self._holders:
            del self._holders[held]
            self._freed.set()

    def _log_wait(self, counted_bytes: int) -> None:
        logger.info(
            'answer_waits_for_memory',
            extra={
                'wanted': counted_bytes,
                'held': self.held_bytes,
                'answers': len(self._holders),
            },
        )
