"""What a check found wrong."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Violation:
    """A failure at a monotonic time, with the request that shows it, if any."""

    at: float
    text: str
    request: str = ''
    check: str = ''
