"""Checks of the service as a whole and of the processes."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from ..documents import METERED_CUSTOMER
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..history import History
    from ..operations import Usage

MIN_SERVED_SHARE = 0.25
# After its start a process still loads and fills its tables.
WARM_UP_S = 8.0
MIN_SPAN_S = 20.0
MAX_GROWTH = 1.25
MEMORY_SLACK_MB = 16.0
DESCRIPTOR_SLACK = 60


def recovery(history: History) -> Iterator[Violation]:
    """Yield a violation if little is served some time after the last fault."""
    since = history.faults_until + history.bounds.recover_s
    late = [
        attempt
        for attempt in history.attempts
        if attempt.began_at >= since
        and attempt.ended_at < math.inf
        and attempt.customer != METERED_CUSTOMER
    ]
    served = sum(attempt.is_success for attempt in late)
    if history.faults_until and served <= MIN_SERVED_SHARE * len(late):
        yield Violation(at=since, text=f'{served} of {len(late)} requests are served')


def level_resources(history: History) -> Iterator[Violation]:
    """Yield processes whose memory or descriptors grow from one half to the other."""
    by_process: dict[int, list[Usage]] = defaultdict(list)
    for usage in history.usages:
        by_process[usage.pid].append(usage)
    for usages in by_process.values():
        began_at = usages[0].at + WARM_UP_S
        last = usages[-1]
        middle = (began_at + last.at) / 2
        early = [usage for usage in usages if began_at <= usage.at < middle]
        if last.at - began_at < MIN_SPAN_S:
            continue
        limit_mb = MAX_GROWTH * max(u.rss_mb for u in early) + MEMORY_SLACK_MB
        limit = MAX_GROWTH * max(u.descriptors for u in early) + DESCRIPTOR_SLACK
        if last.rss_mb > limit_mb or last.descriptors > limit:
            text = f'{last.rss_mb:.0f} MB, {last.descriptors} descriptors at the end'
            yield Violation(at=last.at, text=f'{last.program}: {text}')


def no_own_ends(history: History) -> Iterator[Violation]:
    """Yield programs that ended though nobody ended them."""
    for end in history.own_ends:
        yield Violation(at=end.at, text=f'{end.program} ended with code {end.code}')


def no_uncaught_errors(history: History) -> Iterator[Violation]:
    """Yield each kind of error that a program's log shows as not handled."""
    counts = Counter((error.program, error.text) for error in history.errors)
    for (program, text), count in counts.items():
        yield Violation(at=history.ended_at, text=f'{program}: {count} times {text}')
