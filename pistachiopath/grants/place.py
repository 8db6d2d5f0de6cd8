"""A request that waits for a place or holds one."""

from __future__ import annotations

import attrs

from ..messages.grants import Ask


@attrs.define(kw_only=True, eq=False)
class Place:
    """A request at the gate; times are seconds of the gate's clock.

    `lost_at` is the time when its entry became unreachable, or 0.
    """

    entry: str
    ask: Ask
    asked_at: float
    order: int
    fair_tag: float
    granted_at: float = 0.0
    lost_at: float = 0.0

    @property
    def objective_at(self) -> float:
        """Time after which the answer is worth less."""
        return self.asked_at + self.ask.objective_ms / 1000

    @property
    def deadline_at(self) -> float:
        """Time after which the answer is worth nothing."""
        return self.asked_at + self.ask.deadline_ms / 1000

    @property
    def patience_at(self) -> float:
        """Time until which the caller waits for the first event."""
        if not self.ask.patience_ms:
            return self.deadline_at
        return min(self.deadline_at, self.asked_at + self.ask.patience_ms / 1000)

    def is_late(self, now: float) -> bool:
        """Return whether the objective has passed."""
        return now >= self.objective_at
