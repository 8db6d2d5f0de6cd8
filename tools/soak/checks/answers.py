"""Checks of what callers get."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from ..arrival import Arrival, Ending
from ..attempt import Attempt, Outcome
from ..replica_run import event_count
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..history import History

FAILURES = frozenset({500, 502, 504})
# An entry may give up an answer this long before its deadline.
DEADLINE_MARGIN_S = 0.5
# A planned stop may cut a request that was sent soon after its signal, if a replica
# is still at work on it in the last part of the grace.
LAST_PART_OF_GRACE = 5 / 6
SENT_SOON_S = 3.0


def whole_answers(history: History) -> Iterator[Violation]:
    """Yield answers that are not a replica's own, whole and in order."""
    for attempt, arrivals in history.requests():
        text = _fault_of(attempt, arrivals)
        if text:
            yield Violation(at=attempt.ended_at, request=attempt.request, text=text)


def _fault_of(attempt: Attempt, arrivals: list[Arrival]) -> str:
    """Return what is wrong with a response, empty if nothing is."""
    if attempt.outcome is Outcome.GARBLED:
        return '' if _have_broken_off(arrivals) else 'the bytes are no response'
    if attempt.echoed and attempt.echoed != attempt.request:
        return f'the response belongs to {attempt.echoed}'
    if attempt.signature and attempt.status != 200:
        return f'a signed response has status {attempt.status}'
    fault = _order_fault(attempt)
    if fault or not attempt.is_success:
        return fault
    runs = [a for a in arrivals if a.ran and a.signature == attempt.signature]
    if not runs:
        return f'no run has the signature {attempt.signature!r}'
    if attempt.is_stream:
        last = attempt.events[-1].number if attempt.events else attempt.last_event
        expected = event_count(attempt.path)
        return '' if last == expected else f'ends with event {last} of {expected}'
    if runs[0].ending is Ending.BROKE_OFF:
        return 'the replica broke off, the response looks complete'
    return '' if attempt.body == runs[0].text else "the body is not the replica's"


def _order_fault(attempt: Attempt) -> str:
    expected = (attempt.last_event or 0) + 1
    for event in attempt.events:
        if event.number != expected:
            return f'event {event.number} where {expected} is due'
        if event.text != attempt.path:
            return f'event of another stream: {event.text}'
        expected += 1
    return ''


def one_version(history: History) -> Iterator[Violation]:
    """Yield streams whose events come from several software versions."""
    streams: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        streams[attempt.root or attempt.request].append(attempt)
    for attempts in streams.values():
        events = [(event, a) for a in attempts for event in a.events]
        for (before, _), (event, attempt) in zip(events, events[1:], strict=False):
            if event.version != before.version:
                text = f'{event.version} after {before.version} at {event.number}'
                yield Violation(at=attempt.ended_at, request=attempt.request, text=text)
                break


def answered(history: History) -> Iterator[Violation]:
    """Yield whole requests that undisturbed entries left without an answer."""
    for attempt, arrivals in history.requests():
        is_open = attempt.outcome not in (Outcome.CUT, Outcome.TIMED_OUT)
        if is_open or _may_be_cut(history, attempt, arrivals):
            continue
        if not history.is_entry_calm(attempt.entry, attempt.began_at, attempt.ended_at):
            continue
        stop = history.stop_of(attempt.entry, attempt.ended_at)
        text = (
            f'{attempt.outcome} at {attempt.entry} after '
            f'{attempt.ended_at - attempt.sent_at:.2f} s, {len(arrivals)} arrivals, '
            f'{len(attempt.events)} events{", during a planned stop" if stop else ""}'
        )
        yield Violation(at=attempt.ended_at, request=attempt.request, text=text)


def _may_be_cut(history: History, attempt: Attempt, arrivals: list[Arrival]) -> bool:
    """Return whether a response may be missing or incomplete."""
    if attempt.outcome is Outcome.TIMED_OUT:
        return False
    has_begun = attempt.head_at < math.inf
    if not arrivals and not has_begun:
        # It crossed the close of its connection and was not read.
        return attempt.ended_at - attempt.sent_at <= history.bounds.crossing_s
    links = tuple(f'link-{arrival.place}' for arrival in arrivals)
    if has_begun and (
        _have_broken_off(arrivals)
        or _is_due(attempt)
        or history.disturbances(links, attempt.began_at, attempt.ended_at)
    ):
        return True
    return _is_cut_by_stop(history, attempt, arrivals)


def ended_early(history: History) -> Iterator[Violation]:
    """Yield requests that failed because an entry left a replica at work.

    A replica that is slow or silent is no reason for that.
    """
    for attempt, arrivals in history.requests():
        left = [a for a in arrivals if a.ran and a.ending is Ending.CLOSED]
        has_failed = attempt.outcome is Outcome.CUT or (
            attempt.outcome is Outcome.ANSWERED and attempt.status in FAILURES
        )
        if not left or not has_failed or _have_broken_off(arrivals):
            continue
        if _is_due(attempt) or _is_cut_by_stop(history, attempt, arrivals):
            continue
        links = tuple(f'link-{name}' for name in (attempt.entry, *_places(arrivals)))
        names = (attempt.entry, *links)
        if history.disturbances(names, attempt.began_at, attempt.ended_at):
            continue
        text = (
            f'{attempt.outcome} {attempt.status} after '
            f'{attempt.ended_at - attempt.began_at:.2f} s, {left[-1].replica} was at '
            f'work{" and silent" if left[-1].was_silent else ""}'
        )
        yield Violation(at=attempt.ended_at, request=attempt.request, text=text)


def _places(arrivals: list[Arrival]) -> list[str]:
    return [arrival.place for arrival in arrivals]


def _have_broken_off(arrivals: list[Arrival]) -> bool:
    return any(arrival.ending is Ending.BROKE_OFF for arrival in arrivals)


def _is_due(attempt: Attempt) -> bool:
    """Return whether an attempt ended at about its deadline."""
    ends_at = attempt.began_at + attempt.deadline_s - DEADLINE_MARGIN_S
    return attempt.ended_at >= ends_at


def _is_cut_by_stop(
    history: History, attempt: Attempt, arrivals: list[Arrival]
) -> bool:
    """Return whether a planned stop may have cut a request."""
    stop = history.stop_of(attempt.entry, attempt.ended_at)
    if stop is None or attempt.sent_at > stop.began_at + SENT_SOON_S:
        return False
    late_from = stop.began_at + LAST_PART_OF_GRACE * history.bounds.grace_s
    was_at_work = any(a.ran and a.ended_at >= late_from for a in arrivals)
    return was_at_work and attempt.ended_at >= late_from
