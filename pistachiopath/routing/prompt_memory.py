"""Which replicas probably hold which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .prompt_part import PromptPart

# Engines forget parts by age and pressure; older knowledge is a guess.
HOLD_S = 20.0
MAX_PARTS = 2000
MAX_SEEN = 20_000
# Another entry may have sent the prompt to its home.
HOME_SHARE = 0.5
# A prompt whose last part comes back less often than this has no home of its own.
MIN_RETURNS = 0.3
RETURNS_SMOOTHING = 0.02


class PromptMemory:
    """Parts that this entry sent to each replica, and homes of prompts.

    All entries agree on the home of a prompt without messages, by the
    highest random weight of its last part among the replicas.
    """

    def __init__(self) -> None:
        self._sent: dict[str, OrderedDict[str, float]] = {}
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._returns = 0.0

    def sent(self, replica: str, parts: tuple[PromptPart, ...], now: float) -> None:
        """Take note that a replica reads these parts."""
        held = self._sent.setdefault(replica, OrderedDict())
        if parts:
            returned = parts[-1].part_id in self._seen
            self._returns += RETURNS_SMOOTHING * (returned - self._returns)
        for part in parts:
            self._seen[part.part_id] = None
            self._seen.move_to_end(part.part_id)
            held[part.part_id] = now
            held.move_to_end(part.part_id)
        while len(held) > MAX_PARTS:
            held.popitem(last=False)
        while len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)

    def forget(self, replica: str) -> None:
        """Take note that a replica has lost its memory."""
        self._sent.pop(replica, None)

    def cached_tokens(
        self, replica: str, parts: tuple[PromptPart, ...], now: float
    ) -> int:
        """Return how many leading tokens this entry had a replica read."""
        held = self._sent.get(replica, {})
        tokens = 0
        for part in parts:
            if now - held.get(part.part_id, -HOLD_S) >= HOLD_S:
                break
            tokens += part.tokens
        return tokens

    def repeated(self, parts: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
        """Return the leading parts that were seen before.

        The last part of most prompts belongs to one request alone: no replica
        holds it, and no place is better for it than another.
        """
        known = 0
        while known < len(parts) and parts[known].part_id in self._seen:
            known += 1
        return parts[:known]

    def returning(self, entries: int) -> float:
        """Return the part of prompts whose last part was read before anywhere.

        What one of `entries` sees come back at some rate, all together see so
        many times as often.
        """
        return min(1.0, entries * self._returns)

    def home_tokens(
        self, parts: tuple[PromptPart, ...], entries: int
    ) -> tuple[tuple[PromptPart, ...], int]:
        """Return the parts that have a home, and the tokens to expect there."""
        repeated = self.repeated(parts)
        tokens = HOME_SHARE * sum(part.tokens for part in repeated)
        returning = self.returning(entries)
        if len(repeated) < len(parts) and returning >= MIN_RETURNS:
            fresh = sum(part.tokens for part in parts[len(repeated) :])
            return parts, int(tokens + HOME_SHARE * returning * fresh)
        return repeated, int(tokens)

    @staticmethod
    def home(replicas: list[str], parts: tuple[PromptPart, ...]) -> str:
        """Return the home of a prompt among some replicas."""
        last = parts[-1].part_id.encode()
        return max(
            replicas, key=lambda name: xxhash.xxh3_64_intdigest(last + name.encode())
        )
