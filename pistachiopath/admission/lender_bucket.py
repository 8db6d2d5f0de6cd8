"""A lender's copy of one customer's allowance."""

from __future__ import annotations

import logging

import attrs

from .recent_rate import RecentRate

logger = logging.getLogger(__name__)

# A customer close to the threshold is logged at most once in this time.
LOG_PERIOD_S = 1.0


@attrs.define(kw_only=True)
class LenderBucket:
    """What is left of an allowance over all entries, and the demand for it.

    `used` and `asked` are the totals of this lender's own entries; `lent` is the
    sum of the single costs lent since the last report to other lenders.
    `is_scarce` is the state that was last logged.
    """

    level: float
    updated_at: float
    used: int = 0
    asked: int = 0
    lent: float = 0.0
    is_scarce: bool = False
    log_at: float = 0.0
    demand: RecentRate = attrs.field(factory=RecentRate)

    def log(self, customer: str, share: float, now: float, *, is_scarce: bool) -> None:
        """Log when a customer changes between leased and free service."""
        if is_scarce == self.is_scarce or now < self.log_at:
            return
        self.is_scarce = is_scarce
        self.log_at = now + LOG_PERIOD_S
        logger.info(
            'allowance_scarce' if is_scarce else 'allowance_free',
            extra={
                'customer': customer,
                'left': int(self.level),
                'asked_per_s': int(self.demand.at(now)),
                'share': round(share, 3),
            },
        )
