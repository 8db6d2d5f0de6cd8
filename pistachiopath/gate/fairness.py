"""Fair order between customers within a tier."""

from __future__ import annotations

import attrs

MAX_CUSTOMERS = 2000


@attrs.define(kw_only=True)
class _TierTags:
    virtual: float = 0.0
    last: dict[str, float] = attrs.field(factory=dict)


class FairTags:
    """Start-time fair queueing by tokens, one virtual time a tier.

    A customer's next request starts, in virtual time, where its last one
    ended: who asks for much waits behind who asks for little, and nobody
    saves up a claim while idle.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, _TierTags] = {}

    def tag(self, tier: int, customer: str, tokens: int) -> float:
        """Return the start tag of a new request."""
        tags = self._tiers.setdefault(tier, _TierTags())
        start = max(tags.virtual, tags.last.get(customer, 0.0))
        tags.last[customer] = start + max(1, tokens)
        if len(tags.last) > MAX_CUSTOMERS:
            self._forget_idle(tags)
        return start

    def started(self, tier: int, tag: float) -> None:
        """Move virtual time on when a request starts."""
        tags = self._tiers.setdefault(tier, _TierTags())
        tags.virtual = max(tags.virtual, tag)

    @staticmethod
    def _forget_idle(tags: _TierTags) -> None:
        tags.last = {c: end for c, end in tags.last.items() if end > tags.virtual}
