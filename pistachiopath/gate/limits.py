"""Bounds of the gate."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class GateLimits:
    """Bounds of the gate; durations in seconds.

    `window` is the number of concurrent runs on the engine.
    """

    window: int = 8
    max_queued: int = 256
    retention_s: float = 3600.0
    answer_retention_s: float = 300.0
    max_answer_bytes: int = 16 * 1024 * 1024
    max_retained_bytes: int = 4 * 1024 * 1024
