"""Result of one request of the load tool."""

from __future__ import annotations

import attrs

from .plan import Arrival


@attrs.define(kw_only=True, frozen=True)
class Result:
    """Status, outcome and times of a request; times in seconds.

    `is_correct` tells whether the whole expected answer was received.
    """

    arrival: Arrival
    status: int
    outcome: str
    is_correct: bool
    first_byte_s: float
    total_s: float
    tokens: int = 0

    @property
    def in_time(self) -> bool:
        """Tell whether a correct answer was received within the deadline."""
        return self.is_correct and self.total_s <= self.arrival.kind.deadline_s
