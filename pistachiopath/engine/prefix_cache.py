"""Prompt prefix cache of limited capacity."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define(kw_only=True, frozen=True)
class CacheEvent:
    """A block was stored in the prefix cache, or evicted if not `stored`."""

    sequence: int
    stored: bool
    block: int


class PrefixCache:
    """Holds blocks by their chained hashes and evicts the least recently used."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self.events: list[CacheEvent] = []

    def match(self, blocks: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached; mark them as recently used."""
        count = self.count_cached(blocks)
        for block in blocks[:count]:
            self._blocks.move_to_end(block)
        return count

    def count_cached(self, blocks: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached, without marking them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def cached_prefix(self, blocks: tuple[int, ...]) -> tuple[int, ...]:
        """Return the leading blocks that are cached, without marking them as used."""
        return blocks[: self.count_cached(blocks)]

    def clear(self) -> None:
        """Drop every block, as an engine restart does."""
        self._blocks.clear()

    def store(self, blocks: tuple[int, ...]) -> None:
        """Store blocks and evict the least recently used ones beyond the capacity."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._record_event(block, stored=False)

    def _record_event(self, block: int, *, stored: bool) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, stored=stored, block=block)
        self.events.append(event)
