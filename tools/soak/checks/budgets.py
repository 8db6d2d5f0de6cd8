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
    bounds = history.bounds
    window_s = bounds.retry_window_s
    requests: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for attempt, arrivals in history.requests():
        for service in services_of(attempt.kind):
            requests[service].append(attempt.began_at)
        in_order = sorted(arrivals, key=lambda arrival: arrival.at)
        for arrival in in_order[1:]:
            repeats[arrival.service].append((arrival.at, arrival.request))
    for service, found in repeats.items():
        found.sort()
        requests[service].sort()
        times = [at for at, _ in found]
        for at, request in found:
            count = _count(times, at - window_s, at)
            asked = max(
                _count(requests[service], at - lag_s - window_s, at - lag_s)
                for lag_s in (0.0, window_s / 2, window_s)
            )
            if count > bounds.retry_ratio * asked + bounds.retry_slack:
                text = f'{service} gets {count} repeats of {asked} in {window_s:.0f} s'
                yield Violation(at=at, request=request, text=text)


def _count(times: list[float], since: float, until: float) -> int:
    """Return how many of the sorted times are in a span."""
    return bisect_right(times, until) - bisect_left(times, since)
