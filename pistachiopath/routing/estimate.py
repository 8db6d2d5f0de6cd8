"""Estimate of a request on one target."""

from __future__ import annotations

import attrs

from .targets import KnownTarget


@attrs.define(kw_only=True, frozen=True)
class Estimate:
    """When a request would end on a target, and what it would prefill there.

    Times are in seconds, the rate in tokens a second.
    """

    known: KnownTarget
    finish_s: float
    alone_s: float
    prefill_tokens: int
    prefill_rate: float
