"""Order of grants at a gate that is short of capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..grants.place import Place

GrantKey = tuple[int, bool, int, float, int]


def grant_keys(
    places: Iterable[Place],
    *,
    rank: Callable[[Place], int],
    used_ms: dict[str, float],
    fair_ms: float,
    work_ms: Callable[[Place], float],
) -> dict[Place, GrantKey]:
    """Return sort keys of requests; the smallest goes first.

    Within a rank, requests go by the engine time that their customer will have used
    by then: what it has used, `used_ms`, and the work of its own requests ahead.
    A request that its customer's share `fair_ms` no longer covers goes behind those of
    all customers below their shares.  Of one customer, callers that come back go
    first, then the oldest request.
    """
    ordered = sorted(places, key=lambda p: (not p.ask.spent_ms, p.order))
    ahead_ms: dict[tuple[int, str], float] = {}
    keys = {}
    for place in ordered:
        of_rank = rank(place)
        group = (of_rank, place.ask.customer)
        own_ms = ahead_ms.get(group, 0.0)
        ahead_ms[group] = own_ms + work_ms(place)
        used_by_then_ms = used_ms.get(place.ask.customer, 0.0) + own_ms
        keys[place] = (
            of_rank,
            used_by_then_ms >= fair_ms,
            place.ask.customer_tier,
            used_by_then_ms,
            place.order,
        )
    return keys
