"""Ranks of request tiers at a gate."""

from __future__ import annotations

import math

# A tier without requests for this long is left out of the ranking.
TIER_EXPIRY_S = 5.0
RATE_DECAY_S = 3.0
# Lower bound for the time over which a rate is computed: the first grant of a gate
# that has just started says little about its rate.
MIN_RATE_SPAN_S = 0.1
# Late answers are worth less, so they rank below the next tier.
RANKS_PER_TIER = 2
LATE_RANKS = 3
# A waiting tier gets one grant after this many grants to more urgent tiers.
GRANTS_PER_TURN = 24


class Tiers:
    """Ranks the tiers with recent requests and measures their grant rates.

    >>> tiers = Tiers()
    >>> tiers.record_request(1000, 0.0)
    >>> tiers.record_request(1002, 0.0)
    >>> tiers.rank(1000, late=True) < tiers.rank(1002, late=False)
    False
    >>> tiers.rank(1000, late=True) < tiers.rank(1002, late=True)
    True
    """

    def __init__(self) -> None:
        self._requested_at: dict[int, float] = {}
        self._sorted: list[int] = []
        self._grants: dict[int, tuple[float, float]] = {}
        self._passed_over: dict[int, int] = {}
        self._started_at: float | None = None

    def record_request(self, tier: int, now: float) -> None:
        """Record a request of a tier and drop tiers without recent requests."""
        if self._started_at is None:
            self._started_at = now
        self._requested_at[tier] = now
        for expired in [
            t for t, at in self._requested_at.items() if now - at >= TIER_EXPIRY_S
        ]:
            del self._requested_at[expired]
        self._sorted = sorted(self._requested_at)

    def index(self, tier: int) -> int:
        """Return the number of more urgent tiers."""
        return sum(other < tier for other in self._sorted)

    def rank(self, tier: int, *, late: bool) -> int:
        """Return the order of service; smaller goes first."""
        return self.index(tier) * RANKS_PER_TIER + (LATE_RANKS if late else 0)

    def record_grant(self, tier: int, waiting: set[int], now: float) -> None:
        """Record a grant; less urgent tiers in `waiting` were passed over."""
        self._grants[tier] = (self._decayed_grants(tier, now) + 1.0, now)
        self._passed_over[tier] = 0
        for other in waiting:
            if other > tier:
                self._passed_over[other] = self._passed_over.get(other, 0) + 1

    def has_turn(self, tier: int) -> bool:
        """Return whether a tier was passed over so often that it goes first."""
        return self._passed_over.get(tier, 0) >= GRANTS_PER_TURN

    def grants_per_s(self, tier: int, now: float) -> float | None:
        """Return the recent rate of grants of a tier, or None if it is unknown.

        It is unknown for a tier without a grant as long as the gate has not been in
        use for `RATE_DECAY_S`.
        """
        in_use_s = 0.0 if self._started_at is None else now - self._started_at
        if tier not in self._grants and in_use_s < RATE_DECAY_S:
            return None
        # The decayed sum of a gate in use for a shorter time than `RATE_DECAY_S`
        # covers that time alone.
        span_s = max(MIN_RATE_SPAN_S, in_use_s)
        weight_s = RATE_DECAY_S * (1.0 - math.exp(-span_s / RATE_DECAY_S))
        return self._decayed_grants(tier, now) / weight_s

    def _decayed_grants(self, tier: int, now: float) -> float:
        grants, at = self._grants.get(tier, (0.0, now))
        return grants * math.exp((at - now) / RATE_DECAY_S)
