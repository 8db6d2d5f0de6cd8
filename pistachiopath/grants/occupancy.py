"""How many places of a gate are held, and how many requests wait."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Occupancy:
    """State of a gate at a decision on one request.

    `tier_in_time` counts the other waiting requests of the same tier whose
    objective has not passed.
    """

    slots: int
    running: int
    waiting: int
    tier_in_time: int

    def log_fields(self) -> dict[str, int]:
        """Return the counts as fields of a log line."""
        return attrs.asdict(self)
