"""Estimate of a request on one target."""

from __future__ import annotations

import attrs

from .targets import KnownTarget


@attrs.define(kw_only=True, frozen=True)
class Estimate:
    """Estimated time of a request on a target, and what it would prefill there.

    `finish_s` is the time until the request finishes, including the wait for
    the work ahead of it; `run_s` leaves the wait out.  Times are in seconds,
    the rate is in tokens per second.
    """

    candidate: KnownTarget
    finish_s: float
    run_s: float
    prefill_tokens: int
    prefill_rate: float
