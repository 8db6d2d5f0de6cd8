"""Checks that a replica which leaves or asks for a backoff gets no more requests."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..arrival import Arrival
    from ..attempt import Attempt
    from ..history import History
    from ..operations import Departure

MISDIRECTED = 421
BACKOFF_MARGIN_S = 0.5
MAX_DURING_BACKOFF = 2


def departure_kept(history: History) -> Iterator[Violation]:
    """Yield requests to a replica whose departure was acknowledged before."""
    sent = _sent_to(history)
    for departure in history.departures:
        since = departure.acked_at
        for arrival, attempt in sent[_lifetime(departure)]:
            is_late = arrival.at > since + history.bounds.drain_s
            if (
                is_late
                and history.is_core_calm(since, arrival.at)
                and _is_calm(history, attempt, arrival, attempt.began_at)
            ):
                yield _violation(arrival, since, 'its departure was acknowledged')


def notice_kept(history: History) -> Iterator[Violation]:
    """Yield requests that an entry sent though it had passed on a notice."""
    sent = _sent_to(history)
    for told, notices in history.requests():
        if not told.is_leaving:
            continue
        since = told.ended_at
        for notice in notices:
            for arrival, attempt in sent[_lifetime(notice)]:
                is_late = attempt.began_at > since + history.bounds.drain_s
                if (
                    is_late
                    and notice.says_leaving
                    and _same_process(attempt, told)
                    and _is_calm(history, attempt, arrival, since)
                ):
                    yield _violation(arrival, since, 'its entry passed on a notice')


def backoff_kept(history: History) -> Iterator[Violation]:
    """Yield the third request that an entry sends to a replica within a backoff."""
    sent = _sent_to(history)
    for told, refusals in history.requests():
        for refusal in [r for r in refusals if r.backoff_s]:
            since = refusal.ended_at
            found = [
                arrival
                for arrival, attempt in sent[_lifetime(refusal)]
                if BACKOFF_MARGIN_S < arrival.at - since < refusal.backoff_s
                and _same_process(attempt, told)
                and _is_calm(history, attempt, arrival, since)
            ]
            found.sort(key=lambda arrival: arrival.at)
            if len(found) > MAX_DURING_BACKOFF:
                yield _violation(found[MAX_DURING_BACKOFF], since, 'it asked for time')


def _lifetime(seen: Arrival | Departure) -> tuple[str, int]:
    """Return what tells a lifetime: a later one may have kept the replica's id."""
    return seen.replica, seen.born_ms


def _sent_to(
    history: History,
) -> dict[tuple[str, int], list[tuple[Arrival, Attempt]]]:
    """Return what reached each lifetime of a replica, with the callers' attempts."""
    sent = defaultdict(list)
    for attempt, arrivals in history.requests():
        for arrival in arrivals:
            if arrival.status != MISDIRECTED:
                sent[_lifetime(arrival)].append((arrival, attempt))
    return sent


def _violation(arrival: Arrival, since: float, why: str) -> Violation:
    return Violation(
        at=arrival.at,
        request=arrival.request,
        text=f'reaches {arrival.replica} {arrival.at - since:.2f} s after {why}',
    )


def _is_calm(
    history: History, attempt: Attempt, arrival: Arrival, since: float
) -> bool:
    """Return whether the entry and its way to the replica were not disturbed."""
    link = (f'link-{arrival.place}',)
    is_disturbed = history.disturbances(link, since, arrival.at)
    return not is_disturbed and history.is_entry_calm(attempt.entry, since, arrival.at)


def _same_process(attempt: Attempt, other: Attempt) -> bool:
    return (attempt.entry, attempt.lifetime) == (other.entry, other.lifetime)
