"""Engine time of the last seconds at one gate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decayed_sums import DecayedSums, decay

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..grants.place import Place

# A grant counts the time of the run to come, so the first ones are compared with the
# time of a usual run and not with the short time since the start.
MIN_WINDOW_S = 1.0
# Tier, and whether the objective had passed at the grant.
TierClass = tuple[int, bool]


class EngineTime:
    """Engine time that customers and tiers have used, and that tiers have asked for.

    A grant counts the expected time of its run, and the end of the run corrects it.
    All times are milliseconds of one place; `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, work_ms: Callable[[Place], float]) -> None:
        self._work_ms = work_ms
        self._by_customer: DecayedSums[str] = DecayedSums()
        self._by_class: DecayedSums[TierClass] = DecayedSums()
        self._asked_by_tier: DecayedSums[int] = DecayedSums()
        self._charged: dict[tuple[str, str], tuple[TierClass, float]] = {}

    def asked(self, place: Place, now: float) -> None:
        """Count a new request; callers that come back were counted before."""
        if not place.ask.spent_ms:
            self._asked_by_tier.add(place.ask.tier, self._work_ms(place), now)

    def granted(self, place: Place, now: float) -> None:
        """Count the expected time of a run that starts."""
        work_ms = self._work_ms(place)
        tier_class = (place.ask.tier, place.is_late(now))
        self._charged[place.entry, place.ask.request] = (tier_class, work_ms)
        self._by_customer.add(place.ask.customer, work_ms, now)
        self._by_class.add(tier_class, work_ms, now)

    def ended(self, place: Place, now: float) -> None:
        """Replace the expected time of a run by the time that it took."""
        charged = self._charged.pop((place.entry, place.ask.request), None)
        if charged is None:
            return
        tier_class, work_ms = charged
        held_s = now - place.granted_at
        # What was counted at the grant has decayed since.
        excess_ms = (held_s * 1000 - work_ms) * decay(held_s)
        self._by_customer.add(place.ask.customer, excess_ms, now)
        self._by_class.add(tier_class, excess_ms, now)

    def by_customer(self, now: float) -> dict[str, float]:
        """Return the time that each customer has used."""
        return self._by_customer.all(now)

    def asked_share(self, tier: int, now: float) -> float:
        """Return the part of all requested time that a tier has asked for."""
        asked = self._asked_by_tier.all(now)
        total = sum(asked.values())
        return asked.get(tier, 0.0) / total if total else 0.0

    def used_share(self, tier: int, now: float) -> float:
        """Return the part of all used time that a tier has used."""
        used = self._by_class.all(now)
        total = sum(used.values())
        of_tier = sum(ms for (other, _), ms in used.items() if other == tier)
        return of_tier / total if total else 0.0

    def urgent_share(
        self, rank: Callable[[int, bool], int], below: int, slots: int, now: float
    ) -> float:
        """Return the part of the engine's time used by ranks below a given one."""
        window_s = max(MIN_WINDOW_S, self._by_class.window_s(now))
        urgent_ms = sum(
            ms
            for (tier, late), ms in self._by_class.all(now).items()
            if rank(tier, late) < below
        )
        return urgent_ms / (window_s * 1000 * max(1, slots))
