"""How long callers wait for the next event of an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .work import Work

# Callers abandon a stream after a gap without events.  The gap is the longest of
# `GAP_MIN_S` and these multiples of the route's objective and pause.
GAP_MIN_S = 2.0
GAP_OBJECTIVE_FACTOR = 4.0
GAP_PAUSE_FACTOR = 8.0
# Share of that gap within which the next event has to arrive.
NEXT_EVENT_GAP_SHARE = 0.9


def patience_s(work: Work, now: float) -> float:
    """Return how many seconds a caller waits for its next event.

    Callers of streams leave after a gap whose length depends on the route.
    """
    route = work.admitted.route
    remaining_s = work.remaining_s(now)
    if not route.is_stream:
        return remaining_s
    gap_s = max(
        GAP_MIN_S,
        GAP_OBJECTIVE_FACTOR * route.objective_s,
        GAP_PAUSE_FACTOR * route.pause_s,
    )
    gap_began_at = max(work.started_at, work.last_event_at)
    gap_ends_at = gap_began_at + NEXT_EVENT_GAP_SHARE * gap_s
    return min(remaining_s, max(0.0, gap_ends_at - now))
