"""A lender's copies of all customers' allowances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.allowance import AllowanceLease
from .lender_bucket import LenderBucket

if TYPE_CHECKING:
    from collections.abc import ItemsView

    from ..routes.customer_account import CustomerAccount

# Lenders learn of each other's use with a delay, so they refuse some requests
# that a single central bucket would allow.  This part of the overage makes up
# for it.
OVERAGE_SHARE = 0.5
# A burst of few requests refuses requests that arrive close together, so this
# part of the stated slack is allowed as well.  The rest covers use in flight.
SLACK_SHARE = 0.5
# A customer is served by leases if less than this part of its burst is left, or
# if its demand exceeds its rate.
SCARCE_LEVEL_PART = 0.5
# A positive or negative level is spread over this time.
LEVEL_SPREAD_S = 2.0
# Debt is limited to this time at the customer's rate, so that older overuse has
# no effect.
MAX_DEBT_S = 4.0
# A lender starts with this part of each burst, for the allowance that accrued
# while it was down: enough for the requests that waited meanwhile.  It knows all
# entries after STARTUP_S; until then the level is not limited to its share.
INITIAL_LEVEL_PART = 0.6
STARTUP_S = 2.0


class LenderBuckets:
    """Refills and empties one bucket for each customer that has a rate.

    `share` is the part of all allowances that belongs to the entries whose use a
    lender learns of.  `overage` is a part of an allowance, and `now` a monotonic
    clock in seconds.
    """

    def __init__(self, *, overage: float, slack_tokens: float) -> None:
        self._headroom = 1.0 + OVERAGE_SHARE * overage
        self._slack_tokens = SLACK_SHARE * slack_tokens
        self._accounts: dict[str, CustomerAccount] = {}
        self._buckets: dict[str, LenderBucket] = {}
        self._startup_ends_at = math.inf

    def adopt(
        self, customers: tuple[CustomerAccount, ...], share: float, now: float
    ) -> None:
        """Apply a new configuration.

        Customers of the first one start with `INITIAL_LEVEL_PART` of their
        burst, customers added later with the share of it.
        """
        is_first = not self._accounts
        if is_first:
            self._startup_ends_at = now + STARTUP_S
        self._accounts = {c.name: c for c in customers if c.rate_per_s > 0}
        for name in [n for n in self._buckets if n not in self._accounts]:
            del self._buckets[name]
        part = INITIAL_LEVEL_PART if is_first else share
        for name in self._accounts:
            if name not in self._buckets:
                self._buckets[name] = LenderBucket(
                    level=part * self.burst(name), updated_at=now
                )

    def account(self, customer: str) -> CustomerAccount:
        """Return the account of a customer that has a bucket."""
        return self._accounts[customer]

    def items(self) -> ItemsView[str, LenderBucket]:
        """Return the customers' names with their buckets."""
        return self._buckets.items()

    def burst(self, customer: str) -> float:
        """Return the burst of a customer, with the slack that is allowed."""
        account = self._accounts[customer]
        slack = self._slack_tokens if account.counts_tokens else 0.0
        return account.burst + slack

    def rate(self, customer: str, share: float) -> float:
        """Return what a customer's bucket gains per second."""
        factor = self._headroom if share >= 1.0 else share
        return self._accounts[customer].rate_per_s * factor

    def refill(self, customer: str, share: float, now: float) -> LenderBucket | None:
        """Refill the bucket of a customer and return it, None if it has none."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        gained = (now - bucket.updated_at) * self.rate(customer, share)
        max_level = self.burst(customer) * (
            share if now >= self._startup_ends_at else 1.0
        )
        bucket.level = min(max_level, bucket.level + gained)
        bucket.updated_at = now
        return bucket

    def subtract(self, customer: str, used: float, asked: float, now: float) -> None:
        """Subtract use from a bucket, and add what was asked to its demand."""
        bucket = self._buckets[customer]
        min_level = -MAX_DEBT_S * self._accounts[customer].rate_per_s
        bucket.level = max(min_level, bucket.level - used)
        bucket.demand.add(asked, now)

    def is_scarce(self, customer: str, share: float, now: float) -> bool:
        """Return whether a customer is served by leases."""
        bucket = self._buckets[customer]
        if bucket.level < SCARCE_LEVEL_PART * self.burst(customer) * share:
            return True
        return bucket.demand.at(now) > self._accounts[customer].rate_per_s * share

    def lease(self, customer: str, part: float, share: float) -> AllowanceLease:
        """Return a lease of a part of what a customer's bucket gains and holds."""
        bucket = self._buckets[customer]
        rate = self.rate(customer, share) + bucket.level / LEVEL_SPREAD_S
        return AllowanceLease(
            customer=customer,
            rate_per_s=int(part * max(0.0, rate)),
            burst=int(part * self.burst(customer) * share),
            level=max(0, int(part * bucket.level)),
        )
