"""Whether an answer began within its objective, and if not, where time was lost."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .work import Work


class Timing(enum.StrEnum):
    """When the first event came, relative to the route's objective.

    `LATE_ON_ARRIVAL`: earlier attempts had used up the objective.
    `LATE_IN_QUEUE`: it passed while the request waited or was tried elsewhere.
    `LATE_AT_TARGET`: it passed after the last send.
    """

    IN_TIME = 'in_time'
    LATE_ON_ARRIVAL = 'late_on_arrival'
    LATE_IN_QUEUE = 'late_in_queue'
    LATE_AT_TARGET = 'late_at_target'
    NO_ANSWER = 'no_answer'


def timing(work: Work) -> Timing:
    """Return the timing of an answer, from the caller's first attempt on."""
    objective_at = work.first_attempt_at + work.admitted.route.objective_s
    if not work.first_event_at:
        return Timing.NO_ANSWER
    if work.first_event_at <= objective_at:
        return Timing.IN_TIME
    if work.started_at >= objective_at:
        return Timing.LATE_ON_ARRIVAL
    if work.sent_at >= objective_at:
        return Timing.LATE_IN_QUEUE
    return Timing.LATE_AT_TARGET
