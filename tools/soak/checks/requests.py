"""Checks of what reaches replicas, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..attempt import Outcome
from ..exchange import BODY
from ..wire import REFUSAL_STATUSES
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..arrival import Arrival
    from ..attempt import Attempt
    from ..history import History


def at_most_once(history: History) -> Iterator[Violation]:
    """Yield requests that may not be repeated but ran more than once."""
    for attempt, arrivals in history.requests():
        runs = [arrival for arrival in arrivals if arrival.ran]
        if len(runs) > 1 and not attempt.kind.may_repeat:
            text = f'ran at {", ".join(run.replica for run in runs)}'
            yield Violation(at=runs[1].ran_at, request=attempt.request, text=text)


def truthful_refusals(history: History) -> Iterator[Violation]:
    """Yield refused requests that may not be repeated and ran nevertheless."""
    for attempt, arrivals in history.requests():
        is_answered = attempt.outcome is Outcome.ANSWERED
        is_refused = is_answered and attempt.status in REFUSAL_STATUSES
        runs = [arrival for arrival in arrivals if arrival.ran]
        if runs and is_refused and not attempt.kind.may_repeat:
            text = f'answered {attempt.status}, ran at {runs[0].replica}'
            yield Violation(at=attempt.ended_at, request=attempt.request, text=text)


def unchanged_requests(history: History) -> Iterator[Violation]:
    """Yield requests at replicas that nobody sent like this."""
    attempts = history.attempts_by_request()
    for arrival in history.arrivals:
        text = _change(arrival, attempts.get(arrival.request))
        if text:
            yield Violation(at=arrival.at, request=arrival.request, text=text)


def _change(arrival: Arrival, attempt: Attempt | None) -> str:
    if attempt is None:
        return 'no caller sent it'
    if (arrival.method, arrival.path) != ('POST', attempt.path):
        return f'arrives as {arrival.method} {arrival.path}, sent as {attempt.path}'
    if arrival.body.encode('latin-1') != BODY:
        return 'its body was changed'
    if arrival.has_key:
        return "the customer's key was passed on"
    if arrival.customer != attempt.customer:
        return f'arrives as customer {arrival.customer!r}'
    return ''
