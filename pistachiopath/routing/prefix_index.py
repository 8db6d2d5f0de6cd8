"""Prompt prefixes that targets probably hold in their caches."""

from __future__ import annotations

import math
from collections import OrderedDict

import xxhash

from .prefix import CHUNK_TOKENS

MAX_TARGET_CHUNKS = 2000
MAX_TOTAL_CHUNKS = 40_000
MAX_HOLDERS = 10_000
HASH_RANGE = 2**64


class PrefixIndex:
    """Chunks that this entry sent to each target, with LRU eviction.

    The index holds no more chunks of a target than the target's cache can:
    older ones are evicted here as the engine would evict them.
    """

    def __init__(self) -> None:
        self._by_target: OrderedDict[str, OrderedDict[int, None]] = OrderedDict()
        self._total = 0
        self._holders: OrderedDict[int, str] = OrderedDict()

    def record_prompt(
        self, target: str, chunks: tuple[int, ...], capacity: int
    ) -> None:
        """Record a prompt sent to a target whose cache holds `capacity` chunks."""
        if not chunks:
            return
        self._holders[chunks[0]] = target
        self._holders.move_to_end(chunks[0])
        while len(self._holders) > MAX_HOLDERS:
            self._holders.popitem(last=False)
        held = self._by_target.setdefault(target, OrderedDict())
        self._by_target.move_to_end(target)
        before = len(held)
        for chunk in chunks:
            held[chunk] = None
            held.move_to_end(chunk)
        while len(held) > min(capacity, MAX_TARGET_CHUNKS):
            held.popitem(last=False)
        self._total += len(held) - before
        while self._total > MAX_TOTAL_CHUNKS:
            _, evicted = self._by_target.popitem(last=False)
            self._total -= len(evicted)

    def cached_tokens(self, target: str, chunks: tuple[int, ...]) -> int:
        """Return how many leading tokens a target probably holds."""
        held = self._by_target.get(target)
        if held is None:
            return 0
        count = 0
        for chunk in chunks:
            if chunk not in held:
                break
            count += 1
        return count * CHUNK_TOKENS

    def holder(self, chunk: int) -> str:
        """Return the target last sent a prompt with this first chunk, or ''."""
        return self._holders.get(chunk, '')

    def forget(self, target: str) -> None:
        """Remove the chunks of a target whose incarnation has ended."""
        self._total -= len(self._by_target.pop(target, ()))


def rendezvous_score(chunk: int, target: str, weight: float) -> float:
    """Return the score of a target for a chunk; the highest is its home.

    All entries compute the same home without exchanging messages, and the
    share of chunks that have their home at a target grows with its weight.
    """
    digest = xxhash.xxh3_64_intdigest(target.encode(), seed=chunk)
    return -weight / math.log((digest + 1) / (HASH_RANGE + 1))
