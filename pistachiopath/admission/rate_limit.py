"""Limit of requests per customer."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class TokenBucket:
    """Allows `rate` requests a second and `burst` at once."""

    rate: float
    burst: float
    level: float
    updated_at: float

    def change(self, rate: float, burst: float) -> None:
        """Change the rate and burst for the requests that follow."""
        self.rate = rate
        self.burst = burst

    def take(self, now: float) -> float:
        """Take one request; return 0 or the seconds until one is allowed."""
        gained = (now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.updated_at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate
