"""Which replicas probably hold which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .prompt_part import PromptPart

# Engines evict parts by age and memory pressure, so older records are unreliable.
CACHE_HOLD_S = 20.0
MAX_PARTS_PER_REPLICA = 2000
MAX_SEEN_PARTS = 20_000
# Share of a repeated prompt expected at its home, where another entry may have
# sent it.
HOME_CACHED_SHARE = 0.5
# Below this repeat rate, a prompt whose last part is new has no home of its own.
MIN_REPEAT_RATE = 0.3
REPEAT_RATE_SMOOTHING = 0.02


class PromptMemory:
    """Parts that each replica has processed for this entry, and homes of prompts.

    All entries agree on the home of a prompt without exchanging messages:
    it is the replica with the highest random weight for its last part.
    """

    def __init__(self) -> None:
        self._by_replica: dict[str, OrderedDict[str, float]] = {}
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._repeat_rate = 0.0

    def record_prompt(
        self, replica: str, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Record that a replica has processed these parts."""
        held = self._by_replica.setdefault(replica, OrderedDict())
        if parts:
            is_repeat = parts[-1].part_id in self._seen
            self._repeat_rate += REPEAT_RATE_SMOOTHING * (is_repeat - self._repeat_rate)
        for part in parts:
            self._seen[part.part_id] = None
            self._seen.move_to_end(part.part_id)
            held[part.part_id] = now
            held.move_to_end(part.part_id)
        while len(held) > MAX_PARTS_PER_REPLICA:
            held.popitem(last=False)
        while len(self._seen) > MAX_SEEN_PARTS:
            self._seen.popitem(last=False)

    def forget(self, replica: str) -> None:
        """Remove the parts of a replica whose cache is lost."""
        self._by_replica.pop(replica, None)

    def cached_tokens(
        self, replica: str, parts: tuple[PromptPart, ...], now: float
    ) -> int:
        """Return how many leading tokens a replica recently processed."""
        held = self._by_replica.get(replica, {})
        tokens = 0
        for part in parts:
            if now - held.get(part.part_id, -CACHE_HOLD_S) >= CACHE_HOLD_S:
                break
            tokens += part.tokens
        return tokens

    def repeated(self, parts: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
        """Return the leading parts that were processed before for this entry.

        The last part of most prompts belongs to a single request: no replica
        has it cached, so it favours none of them.
        """
        count = 0
        while count < len(parts) and parts[count].part_id in self._seen:
            count += 1
        return parts[:count]

    def repeat_rate(self, entries: int) -> float:
        """Return the share of prompts whose last part was processed before.

        This entry sees only its own prompts: among all entries, the rate is
        about `entries` times as high.
        """
        return min(1.0, entries * self._repeat_rate)

    def home_tokens(
        self, parts: tuple[PromptPart, ...], entries: int
    ) -> tuple[tuple[PromptPart, ...], int]:
        """Return the parts that have a home, and the tokens expected there."""
        repeated = self.repeated(parts)
        tokens = HOME_CACHED_SHARE * sum(part.tokens for part in repeated)
        repeat_rate = self.repeat_rate(entries)
        if len(repeated) < len(parts) and repeat_rate >= MIN_REPEAT_RATE:
            new_tokens = sum(part.tokens for part in parts[len(repeated) :])
            return parts, int(tokens + HOME_CACHED_SHARE * repeat_rate * new_tokens)
        return repeated, int(tokens)

    @staticmethod
    def home(replicas: list[str], parts: tuple[PromptPart, ...]) -> str:
        """Return the home of a prompt among some replicas."""
        last = parts[-1].part_id.encode()
        return max(
            replicas, key=lambda name: xxhash.xxh3_64_intdigest(last + name.encode())
        )
