"""Limits on the size and duration of a caller's request."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class ExchangeLimits:
    """Limits in bytes and seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
