"""Checks of bounds that hold over all entries together."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from typing import TYPE_CHECKING

from ..documents import (
    METERED_BURST,
    METERED_CUSTOMER,
    METERED_RATE_PER_S,
    services_of,
    tokens_of,
)
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..history import History


def allowance_kept(history: History) -> Iterator[Violation]:
    """Yield requests with which a customer exceeds its allowance in some window."""
    bounds = history.bounds
    granted = METERED_RATE_PER_S * bounds.allowance_window_s + METERED_BURST
    limit = granted * (1 + bounds.allowance_overage) + bounds.allowance_slack_tokens
    runs = []
    for attempt, arrivals in history.requests():
        ran_at = [arrival.ran_at for arrival in arrivals if arrival.ran]
        if ran_at and attempt.customer == METERED_CUSTOMER:
            runs.append((min(ran_at), attempt))
    runs.sort(key=lambda run: run[0])
    window: deque[tuple[float, int]] = deque()
    for at, attempt in runs:
        window.append((at, tokens_of(attempt.kind)))
        while window[0][0] < at - bounds.allowance_window_s:
            window.popleft()
        used = sum(tokens for _, tokens in window)
        if used > limit:
            text = f'{used} tokens ran in {bounds.allowance_window_s:.0f} s'
            yield Violation(at=at, request=attempt.request, text=text)


def retry_budget_kept(history: History) -> Iterator[Violation]:
    """Yield arrivals with which a service gets more repeats than its budget.

    The requests are counted in the window of the repeats, the one before it and the
    one half a window before it; the highest number counts.
    """
    window_s = history.bounds.retry_window_s
    requests = _requests(history)
    for service, repeats in _repeats(history).items():
        times = [at for at, _ in repeats]
        for at, request in repeats:
            count = _count(times, at - window_s, at)
            asked = max(
                _count(requests[service], at - lag_s - window_s, at - lag_s)
                for lag_s in (0.0, window_s / 2, window_s)
            )
            if count > history.bounds.retry_ratio * asked + history.bounds.retry_slack:
                text = f'{service} gets {count} repeats of {asked} in {window_s:.0f} s'
                yield Violation(at=at, request=request, text=text)


def _requests(history: History) -> dict[str, list[float]]:
    """Return when requests for each service were sent, in order."""
    sent: dict[str, list[float]] = defaultdict(list)
    for attempt in sorted(history.attempts, key=lambda attempt: attempt.began_at):
        for service in services_of(attempt.kind):
            sent[service].append(attempt.began_at)
    return sent


def _repeats(history: History) -> dict[str, list[tuple[float, str]]]:
    """Return when requests reached each service once more, in order, and which."""
    seen: set[str] = set()
    repeats: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda arrival: arrival.at):
        if arrival.request in seen:
            repeats[arrival.service].append((arrival.at, arrival.request))
        seen.add(arrival.request)
    return repeats


def _count(times: list[float], since: float, until: float) -> int:
    """Return how many of the sorted times are in a span."""
    return bisect_right(times, until) - bisect_left(times, since)
