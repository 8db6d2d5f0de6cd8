"""Requests of an experiment."""

from __future__ import annotations

import attrs

from ..claims.submission import Submission
from .plan import Arrival


@attrs.define(kw_only=True)
class Job:
    """One request of the plan, its tries and its outcome."""

    arrival: Arrival
    submission: Submission
    entry: int
    tries: int = 0
    excluded: set[str] = attrs.field(factory=set)
    target: str = ''
    ended_at: float = 0.0
    outcome: str = ''
    decision_s: float = 0.0

    @property
    def in_time(self) -> bool:
        """Tell whether the request completed by its deadline."""
        deadline_at = self.arrival.at + self.arrival.kind.deadline_s
        return self.outcome == 'completed' and self.ended_at <= deadline_at
