"""One part of the periodic step of a loop."""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class LoopPart:
    """A function that a loop calls with the time, a monotonic clock in seconds.

    It is called at most once in `interval_s`, by default in every step.
    """

    name: str
    run: Callable[[float], None]
    interval_s: float = 0.0
    due_at: float = 0.0

    def run_if_due(self, now: float) -> None:
        """Call the function if its interval has passed since the last call."""
        if now < self.due_at:
            return
        self.due_at = now + self.interval_s
        self.run(now)
