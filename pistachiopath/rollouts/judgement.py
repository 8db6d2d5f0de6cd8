"""Judgement of a version by its failures and its times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from .sums import RouteSums

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .sums import Comparison, Sums

# An engine that ends fails its runs together, up to its number of places, with any
# version.
MIN_FAILURES = 9
# Where half of the answers fail, fewer are enough: routes may have few requests.
MIN_FREQUENT_FAILURES = 5
FREQUENT = 0.5
# Smallest excess of the share of failures that makes a version bad.
MIN_FAILURE_EXCESS = 0.05
# Log-likelihood ratio; for one look it is exceeded by chance once in 10,000, and a
# rollout is looked at some dozens of times, whole and in its last seconds.
MIN_RATIO = 15.0
# Share of failures of the old version on which no answers are known.
PRIOR_FAILED, PRIOR_ANSWERED = 0.5, 24.5
# Numbers of times, and the factor from which so many make a version bad.  Engines
# differ in speed by a factor of about three, and the canary has one or two of them, so
# smaller factors roll good versions back.
SLOW_FACTORS = ((30, 2.2), (10, 3.0))
MIN_OLD_TIMES = 5
# Standard errors by which the times exceed the half of the factor on a log scale.
MIN_SLOW_ERRORS = 3.0
# A version that keeps requests for seconds without an end brings neither answers nor
# failures: it is bad if it has ended less than this share of what it got some seconds
# ago, on a route on which the old version has ended nearly all.
MIN_ENDED_SHARE = 0.5
OLD_ENDED_SHARE = 0.9
# Fewer answers say nothing of a version that fails now and then.
ENOUGH_ANSWERS = 20
ENOUGH_ON_ROUTE = 3
# A route with a smaller share of the answers need not be judged alone.
MIN_ROUTE_SHARE = 0.1


@attrs.define(kw_only=True, frozen=True)
class Verdict:
    """Whether a version is bad and why, and whether there were enough answers."""

    is_bad: bool
    is_enough: bool
    reason: str = ''


def judge(data: Comparison) -> Verdict:
    """Return the verdict on the ordered version."""
    is_enough = _has_enough(data)
    reason = _failing(data) or _slow(data)
    return Verdict(is_bad=bool(reason), is_enough=is_enough, reason=reason)


def judge_silence(data: Comparison, earlier: Comparison) -> str:
    """Return the route on which requests of some seconds ago have not ended, or ''."""
    for route, before in earlier.new.items():
        old_before = earlier.old.get(route, RouteSums()).sent
        old_ended = data.old.get(route, RouteSums()).ended
        new_ended = data.new[route].ended
        if before.sent - new_ended < MIN_FAILURES or not old_before:
            continue
        is_silent = new_ended < MIN_ENDED_SHARE * before.sent
        if is_silent and old_ended >= OLD_ENDED_SHARE * old_before:
            return f'silence_on_{route}'
    return ''


def _has_enough(data: Comparison) -> bool:
    total_old = sum(s.judged for s in data.old.values())
    if sum(s.judged for s in data.new.values()) < ENOUGH_ANSWERS:
        return False
    return all(
        data.new.get(route, RouteSums()).judged >= ENOUGH_ON_ROUTE
        for route, sums in data.old.items()
        if sums.judged >= MIN_ROUTE_SHARE * total_old
    )


def _failing(data: Comparison) -> str:
    for route, sums in data.new.items():
        if _fails_more(sums, data.old.get(route, RouteSums())):
            return f'failures_on_{route}'
    if _fails_more(_total(data.new.values()), _total(data.old.values())):
        return 'failures'
    return ''


def _total(sums: Iterable[RouteSums]) -> RouteSums:
    total = RouteSums()
    for item in sums:
        total.add(item)
    return total


def _fails_more(new: RouteSums, old: RouteSums) -> bool:
    """Return whether a version fails significantly more often than another."""
    is_frequent = new.failed >= FREQUENT * new.judged
    if new.failed < (MIN_FREQUENT_FAILURES if is_frequent else MIN_FAILURES):
        return False
    old_failed = old.failed + PRIOR_FAILED
    old_judged = old_failed + old.answered + PRIOR_ANSWERED
    share_new, share_old = new.failed / new.judged, old_failed / old_judged
    if share_new - share_old < MIN_FAILURE_EXCESS:
        return False
    pooled = (new.failed + old_failed) / (new.judged + old_judged)
    ratio = _log_likelihood(new.failed, new.judged, share_new)
    ratio += _log_likelihood(old_failed, old_judged, share_old)
    ratio -= _log_likelihood(new.failed, new.judged, pooled)
    ratio -= _log_likelihood(old_failed, old_judged, pooled)
    return 2 * ratio >= MIN_RATIO


def _log_likelihood(failed: float, judged: float, share: float) -> float:
    result = failed * math.log(share) if failed else 0.0
    if judged > failed:
        result += (judged - failed) * math.log(1 - share)
    return result


def _slow(data: Comparison) -> str:
    for route, sums in data.new.items():
        old = data.old.get(route)
        for kind in sorted({kind for kind, _ in sums.times}):
            if old is not None and _is_slower(sums, old, kind):
                return f'{kind}_times_on_{route}'
    new, old = _times_of_all(data.new), _times_of_all(data.old)
    for kind in sorted({kind for kind, _ in new.times}):
        if _is_slower(new, old, kind):
            return f'{kind}_times'
    return ''


def _times_of_all(sums: Sums) -> RouteSums:
    """Return the times of all routes, which are compared within each."""
    return RouteSums(
        times={
            (kind, (route, size)): times
            for route, item in sums.items()
            for (kind, size), times in item.times.items()
        }
    )


def _is_slower(new: RouteSums, old: RouteSums, kind: str) -> bool:
    """Return whether times are several times those of requests of similar sizes."""
    number = 0
    excess = new_variance = old_variance = 0.0
    for key, times in new.times.items():
        known = old.times.get(key)
        if key[0] != kind or known is None or known.number < MIN_OLD_TIMES:
            continue
        if times.number <= 0:
            continue
        number += times.number
        excess += times.number * (times.mean - known.mean)
        new_variance += times.number * times.variance
        old_variance += times.number**2 * known.variance / known.number
    if not number:
        return False
    excess /= number
    error = math.sqrt(new_variance + old_variance) / number
    thresholds = [math.log2(f) for least, f in SLOW_FACTORS if number >= least]
    return any(
        excess >= threshold and excess - threshold / 2 >= MIN_SLOW_ERRORS * error
        for threshold in thresholds
    )
