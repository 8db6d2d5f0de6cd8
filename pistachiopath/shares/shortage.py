"""Whether the requests at a gate wait longer than their objectives allow."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..grants.place import Place


def is_short(
    waiting: Iterable[Place],
    work_ms: Callable[[Place], float],
    slots: int,
    now: float,
) -> bool:
    """Return whether a gate is short of capacity.

    It is if a request has become late while it waited, or if the requests of a tier
    and of more urgent ones need more time than the objective of the tier.  That callers
    who come back are late does not count: the engine need not be the reason.
    """
    backlog_ms = 0.0
    for place in sorted(waiting, key=lambda p: p.ask.tier):
        backlog_ms += work_ms(place) / max(1, slots)
        if place.ask.spent_ms:
            continue
        if place.is_late(now) or backlog_ms > place.ask.objective_ms:
            return True
    return False
