"""An exponentially decaying rate."""

from __future__ import annotations

import math

import attrs

DECAY_S = 2.0


@attrs.define(kw_only=True)
class RecentRate:
    """A decaying sum that converges to the amount added per second.

    >>> rate = RecentRate()
    >>> rate.add(10.0, 5.0)
    >>> rate.at(5.0)
    5.0
    """

    rate: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.rate = self.at(now) + amount / DECAY_S
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate now."""
        return self.rate * math.exp((self.updated_at - now) / DECAY_S)
