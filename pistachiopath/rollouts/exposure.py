"""How many requests a version may get, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .bounds import RolloutBounds

# Demand may fall after it was measured.
FORECAST_FACTOR = 0.8
# Part of the bound for the canary, and what it gets at least so that a service with
# few requests can be judged, but no more than another part.
CANARY_PART = 0.25
MIN_CANARY = 40.0
MAX_CANARY_PART = 0.6
# Parts of the bound for the other stages, of what the canary leaves.  The rest is for
# what is sent before the next report and the next record.
STEP_PART = 0.12
FULL_PART = 0.68
STEP_SHARE = 0.3
MAX_CANARY_SHARE = 0.7
MAX_STEP_S = 1.0
# Runs on the old version have ended after this time, save for very long ones.
MAX_FULL_S = 3.0
# An entry hears of a record within this time.
MIN_STAGE_S = 0.3
# Part of the duration, and its greatest length, before the deadline in which the end
# becomes durable and known.
FINISH_PART = 0.05
MAX_FINISH_S = 0.5


@attrs.define(kw_only=True, frozen=True)
class Schedule:
    """Requests that a version may get, and the times of the stages in seconds."""

    allowed: float
    step_at: float
    step_s: float
    full_s: float


def schedule(
    bounds: RolloutBounds,
    *,
    duration_s: float,
    elapsed_s: float,
    sent_all: int,
    rate: float,
) -> Schedule:
    """Return the schedule for a measured rate of requests per second.

    Every stage ends while the requests sent up to then are within the bound: the
    version may turn bad at any moment.

    >>> from .bounds import RolloutBounds
    >>> plan = schedule(RolloutBounds(exposure_share=0.1), duration_s=10,
    ...     elapsed_s=5, sent_all=500, rate=100)
    >>> plan.allowed
    140.0
    """
    ahead_s = max(0.0, duration_s - elapsed_s)
    expected = sent_all + FORECAST_FACTOR * rate * ahead_s
    allowed = bounds.exposure_share * expected + bounds.exposure_slack
    per_s = max(rate, 1e-6)
    rest = allowed - _canary_requests(allowed)
    step_s = min(MAX_STEP_S, STEP_PART * rest / (STEP_SHARE * per_s))
    full_s = min(MAX_FULL_S, FULL_PART * rest / per_s)
    # Short rollouts keep at least half of their time for the canary.
    scale = min(1.0, 0.5 * duration_s / (step_s + full_s))
    step_s = max(MIN_STAGE_S, scale * step_s)
    full_s = max(MIN_STAGE_S, scale * full_s)
    finish_s = min(MAX_FINISH_S, FINISH_PART * duration_s)
    return Schedule(
        allowed=allowed,
        step_at=duration_s - finish_s - full_s - step_s,
        step_s=step_s,
        full_s=full_s,
    )


def _canary_requests(allowed: float) -> float:
    return max(CANARY_PART * allowed, min(MIN_CANARY, MAX_CANARY_PART * allowed))


def canary_share(
    plan: Schedule, *, elapsed_s: float, sent_new: int, rate: float
) -> float:
    """Return the share of the traffic that uses the canary's part of the bound up."""
    left = _canary_requests(plan.allowed) - sent_new
    left_s = max(1.0, plan.step_at - elapsed_s)
    return min(MAX_CANARY_SHARE, max(0.0, left / (max(rate, 1e-6) * left_s)))


def initial_share(bounds: RolloutBounds) -> float:
    """Return the share of the traffic until the rate is known."""
    return CANARY_PART * bounds.exposure_share
