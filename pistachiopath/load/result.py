"""What became of one request of the load tool."""

from __future__ import annotations

import attrs

from .plan import Arrival


@attrs.define(kw_only=True, frozen=True)
class Result:
    """Times in seconds; `whole` tells whether the answer was the right one."""

    arrival: Arrival
    status: int
    outcome: str
    whole: bool
    first_byte_s: float
    total_s: float
    tokens: int = 0

    @property
    def in_time(self) -> bool:
        """Tell whether a whole answer came within the deadline."""
        return self.whole and self.total_s <= self.arrival.kind.deadline_s
