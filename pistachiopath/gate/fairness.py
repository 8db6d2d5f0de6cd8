"""Fair order between customers within a tier."""

from __future__ import annotations

import attrs

MAX_CUSTOMERS = 2000


@attrs.define(kw_only=True)
class _TierTags:
    virtual_time: float = 0.0
    end_tags: dict[str, float] = attrs.field(factory=dict)


class FairTags:
    """Start-time fair queueing by tokens, with one virtual time per tier.

    In virtual time a customer's next request starts where its last one ended.
    Customers with many tokens therefore queue behind those with few, and an
    idle customer accumulates no credit.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, _TierTags] = {}

    def tag(self, tier: int, customer: str, tokens: int) -> float:
        """Return the start tag of a new request."""
        tags = self._tiers.setdefault(tier, _TierTags())
        start = max(tags.virtual_time, tags.end_tags.get(customer, 0.0))
        tags.end_tags[customer] = start + max(1, tokens)
        if len(tags.end_tags) > MAX_CUSTOMERS:
            self._forget_idle(tags)
        return start

    def started(self, tier: int, tag: float) -> None:
        """Advance virtual time when a request starts."""
        tags = self._tiers.setdefault(tier, _TierTags())
        tags.virtual_time = max(tags.virtual_time, tag)

    @staticmethod
    def _forget_idle(tags: _TierTags) -> None:
        tags.end_tags = {
            c: end for c, end in tags.end_tags.items() if end > tags.virtual_time
        }
