"""Sums of the waiting requests of a gate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.grants import TierLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .place import Place


def tier_loads(
    waiting: Iterable[Place], work_ms: Callable[[Place], float], now: float
) -> tuple[TierLoad, ...]:
    """Sum the waiting requests by tier.

    Late requests are left out because they rank below the next tier.
    """
    sums: dict[int, list[float]] = {}
    for place in waiting:
        if not place.is_late(now):
            tier_sum = sums.setdefault(place.ask.tier, [0, 0.0])
            tier_sum[0] += 1
            tier_sum[1] += work_ms(place)
    return tuple(
        TierLoad(tier=tier, waiting=int(count), work_ms=int(total_ms))
        for tier, (count, total_ms) in sorted(sums.items())
    )
