"""Decisions of a gate that is short of capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .engine_time import EngineTime
from .expected_wait import expected_wait_ms
from .grant_order import GrantKey, grant_keys
from .max_min import fair_share
from .return_times import ReturnTimes
from .shortage import is_short

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..grants.place import Place
    from ..grants.tiers import Tiers

# Part of its proportional share of the engine's time that a tier gets at least.  The
# operators ask for a quarter; the margin covers errors of the estimated run times.
TIER_MINIMUM = 0.35
TIER_DUE_RANK = -2
LATE_TIER_DUE_RANK = -1
RESUMED_RANK = -3


class CapacityShares:
    """Shares an engine's time between customers and tiers.

    Acts only on requests of services whose most urgent streams can be sent only once
    (`Ask.is_final_urgent`).  `work_ms` returns for how long a request is expected to
    hold a place.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, work_ms: Callable[[Place], float], tiers: Tiers) -> None:
        self._work_ms = work_ms
        self._tiers = tiers
        self._used = EngineTime(work_ms=work_ms)
        self._returns = ReturnTimes()

    def asked(self, place: Place, now: float) -> None:
        """Count a new request."""
        if place.ask.is_final_urgent:
            self._used.asked(place, now)

    def granted(self, place: Place, now: float) -> None:
        """Count a run that starts."""
        if place.ask.is_final_urgent:
            self._used.granted(place, now)

    def ended(self, place: Place, now: float) -> None:
        """Count a run that has ended, or whose place is free for another reason."""
        self._used.ended(place, now)

    def is_short(self, waiting: Collection[Place], slots: int, now: float) -> bool:
        """Return whether the order of grants is by shares now."""
        if not waiting or not all(p.ask.is_final_urgent for p in waiting):
            return False
        return is_short(waiting, self._work_ms, slots, now)

    def grant_keys(
        self, places: Collection[Place], now: float
    ) -> dict[Place, GrantKey]:
        """Return the order of the grants; the smallest key goes first."""
        tiers = {p.ask.tier for p in places}
        due = {tier for tier in tiers if self._is_due(tier, now)}

        def rank(place: Place) -> int:
            is_late = place.is_late(now)
            if place.ask.is_resumed:
                return RESUMED_RANK
            if place.ask.tier in due:
                return LATE_TIER_DUE_RANK if is_late else TIER_DUE_RANK
            return self._tiers.rank(place.ask.tier, late=is_late)

        used_ms = self._used.by_customer(now)
        return grant_keys(
            places,
            rank=rank,
            used_ms=used_ms,
            fair_ms=self._fair_ms(places, used_ms),
            work_ms=self._work_ms,
        )

    def wait_ms(
        self,
        place: Place,
        waiting: Collection[Place],
        *,
        free_in_ms: float,
        slots: int,
        now: float,
    ) -> tuple[int, float]:
        """Return how many requests go before one, and its expected wait.

        Requests of less urgent tiers that go before a late one do so only until they
        are late as well.  They count by what such requests have used recently, not by
        their work.  For callers that come back no arrivals are expected, so that they
        are denied only if those that wait already are too many.
        """
        keys = self.grant_keys({*waiting, place}, now)
        ahead = [p for p in waiting if keys[p] < keys[place]]
        tier = place.ask.tier
        slots = max(1, slots)
        urgent_share = 0.0
        if not place.ask.spent_ms:
            rank = self._tiers.rank(tier, late=place.is_late(now))
            urgent_share = self._used.urgent_share(self._rank, rank, slots, now)
        work_ms = {p: self._work_ms(p) / slots for p in ahead if p.ask.tier <= tier}
        in_tier_ms = sum(ms for p, ms in work_ms.items() if p.ask.tier == tier)
        return len(ahead), expected_wait_ms(
            free_in_ms=free_in_ms,
            ahead_ms=sum(work_ms.values()),
            ahead_in_tier_ms=in_tier_ms,
            urgent_share=urgent_share,
            minimum_share=self._minimum_share(tier, now),
        )

    def retry_ms(self, place: Place, wait_ms: float, slots: int, now: float) -> float:
        """Return the milliseconds after which a denied caller should retry."""
        work_ms = self._work_ms(place) / max(1, slots)
        return self._returns.retry_ms(wait_ms=wait_ms, work_ms=work_ms, now=now)

    def _rank(self, tier: int, late: bool) -> int:
        return self._tiers.rank(tier, late=late)

    def _minimum_share(self, tier: int, now: float) -> float:
        return TIER_MINIMUM * self._used.asked_share(tier, now)

    def _is_due(self, tier: int, now: float) -> bool:
        """Return whether a tier has had less than its minimum."""
        return self._used.used_share(tier, now) < self._minimum_share(tier, now)

    def _fair_ms(self, places: Collection[Place], used_ms: dict[str, float]) -> float:
        """Return the fair share of each customer that wants more.

        What is shared is the time that all customers have used in the last seconds.
        """
        wants = dict(used_ms)
        for place in places:
            customer = place.ask.customer
            wants[customer] = wants.get(customer, 0.0) + self._work_ms(place)
        return fair_share(wants.values(), sum(used_ms.values()))
