"""What prompt prefixes targets probably hold in their caches."""

from __future__ import annotations

import math
from collections import OrderedDict

import xxhash

from .prefix import CHUNK_TOKENS

MAX_TARGET_CHUNKS = 2000
MAX_CHUNKS = 40_000
MAX_HOLDERS = 10_000
HASH_RANGE = 2**64


class PrefixIndex:
    """Chunks that this entry sent to each target, least recently used out.

    A target holds no more chunks here than its cache can: older references
    are dropped as the engine would drop them.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, OrderedDict[int, None]] = OrderedDict()
        self._total = 0
        self._holders: OrderedDict[int, str] = OrderedDict()

    def sent(self, target: str, chunks: tuple[int, ...], capacity: int) -> None:
        """Note that a prompt went to a target whose cache holds `capacity`."""
        if not chunks:
            return
        self._holders[chunks[0]] = target
        self._holders.move_to_end(chunks[0])
        while len(self._holders) > MAX_HOLDERS:
            self._holders.popitem(last=False)
        held = self._held.setdefault(target, OrderedDict())
        self._held.move_to_end(target)
        before = len(held)
        for chunk in chunks:
            held[chunk] = None
            held.move_to_end(chunk)
        while len(held) > min(capacity, MAX_TARGET_CHUNKS):
            held.popitem(last=False)
        self._total += len(held) - before
        while self._total > MAX_CHUNKS:
            _, dropped = self._held.popitem(last=False)
            self._total -= len(dropped)

    def cached_tokens(self, target: str, chunks: tuple[int, ...]) -> int:
        """Return how many leading tokens a target probably holds."""
        held = self._held.get(target)
        if held is None:
            return 0
        count = 0
        for chunk in chunks:
            if chunk not in held:
                break
            count += 1
        return count * CHUNK_TOKENS

    def holder(self, chunk: int) -> str:
        """Return where a prompt with this first chunk went last, or nothing."""
        return self._holders.get(chunk, '')

    def forget(self, target: str) -> None:
        """Drop what was known of a target: its incarnation is over."""
        self._total -= len(self._held.pop(target, ()))


def rendezvous(chunk: int, target: str, weight: float) -> float:
    """Return the score of a target for a chunk; the highest is its home.

    Every entry gets the same home without any message between them, and a
    target is the home of a share of the chunks that grows with its weight.
    """
    drawn = xxhash.xxh3_64_intdigest(target.encode(), seed=chunk)
    return -weight / math.log((drawn + 1) / (HASH_RANGE + 1))
