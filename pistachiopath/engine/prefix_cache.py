"""Prompt prefix cache of limited memory."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define(kw_only=True, frozen=True)
class CacheEvent:
    """A block of the prefix cache was stored or evicted."""

    sequence: int
    stored: bool
    block: int


class PrefixCache:
    """Blocks by their chained hash, least recently used evicted first."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self.events: list[CacheEvent] = []

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are held, and touch them."""
        held = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            held += 1
        return held

    def count_held(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are held, without touching them."""
        held = 0
        for block in blocks:
            if block not in self._blocks:
                break
            held += 1
        return held

    def held(self, blocks: tuple[int, ...]) -> tuple[int, ...]:
        """Return the leading blocks that are held, without touching them."""
        return blocks[: self.count_held(blocks)]

    def clear(self) -> None:
        """Lose every block, as a restart of the engine does."""
        self._blocks.clear()

    def store(self, blocks: tuple[int, ...]) -> None:
        """Hold blocks, evicting others."""
        for block in blocks:
            if block not in self._blocks:
                self._emit(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._emit(block, stored=False)

    def _emit(self, block: int, *, stored: bool) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, stored=stored, block=block)
        self.events.append(event)
