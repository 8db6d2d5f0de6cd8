"""Check of what replicas do for callers that have closed their connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..attempt import Outcome
from ..replica_run import stream_s
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..arrival import Arrival
    from ..attempt import Attempt
    from ..history import History

# A few requests may arrive late, and a part of the work may go on.
FEW = 3
MAX_SHARE_AT_WORK = 0.25


def gone_callers(history: History) -> Iterator[Violation]:
    """Yield streams that arrive or are worked on after their callers have gone."""
    late, due, at_work = [], 0, []
    for attempt, arrivals in history.requests():
        if attempt.outcome is not Outcome.GAVE_UP:
            continue
        left_at = attempt.ended_at + history.bounds.gone_s
        for arrival in arrivals:
            if not _is_calm(history, attempt, arrival, left_at):
                continue
            if arrival.at > left_at:
                late.append(arrival)
            elif arrival.ran and arrival.ran_at + stream_s(arrival.path) > left_at:
                due += 1
                if arrival.ended_at > left_at:
                    at_work.append(arrival)
    if len(late) > FEW:
        yield from _violations(late, 'arrives after its caller has gone')
    if len(at_work) > max(FEW, MAX_SHARE_AT_WORK * due):
        yield from _violations(at_work, 'is worked on after its caller has gone')


def _violations(arrivals: list[Arrival], text: str) -> Iterator[Violation]:
    for arrival in arrivals:
        yield Violation(at=arrival.at, request=arrival.request, text=text)


def _is_calm(
    history: History, attempt: Attempt, arrival: Arrival, until: float
) -> bool:
    """Return whether neither an entry nor its links nor the replica were disturbed."""
    links = (f'link-{attempt.entry}', f'link-{arrival.place}')
    names = (attempt.entry, arrival.place, arrival.service, *links)
    return not history.disturbances(names, attempt.began_at, until)
