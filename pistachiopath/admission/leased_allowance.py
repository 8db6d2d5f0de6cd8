"""Limits customers at one entry to its leased shares of their allowances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..messages.allowance import CustomerUse, UseReport
from .recent_rate import RecentRate

if TYPE_CHECKING:
    from ..messages.allowance import AllowanceLease, AllowanceLeases
    from ..routes.customer_account import CustomerAccount

# Leases expire by this entry's own clock, soon after the lender falls silent.
LEASE_S = 0.8
# Limits for a customer that is far below its allowance, until the next report to
# the lender: a multiple of this entry's even share or of the customer's recent
# use here, whichever is larger.  They allow at least a few requests, as each of
# many entries receives only a few.  The burst is limited to `FREE_BURST_PART` of
# the customer's burst, and the rate to the customer's rate.
FREE_SHARES = 3.0
FREE_GROWTH = 4.0
FREE_BURST_PART = 0.5
FREE_REQUESTS = 3.0
# A leased bucket holds at least this many requests, so that a lease of less than
# a request a second accumulates to a whole one.
LEASED_REQUESTS = 2.0
COST_SMOOTHING = 0.1


@attrs.define(kw_only=True)
class _Bucket:
    """This entry's token bucket for a customer; a level below zero is debt."""

    rate_per_s: float
    burst: float
    level: float
    updated_at: float
    is_leased: bool = True

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last refill."""
        # A reading from before the last refill must not take back what that added.
        gained = max(0.0, now - self.updated_at) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.updated_at = max(self.updated_at, now)


@attrs.define(kw_only=True)
class _Totals:
    """A customer's totals in the lender's session.

    `unconfirmed` was used since the lender's last leases, and `reported` are the
    used and asked totals of the last report.
    """

    used: float = 0.0
    asked: float = 0.0
    unconfirmed: float = 0.0
    mean_cost: float = 0.0
    recent: RecentRate = attrs.field(factory=RecentRate)
    reported: tuple[int, int] = (0, 0)


class LeasedAllowance:
    """A token bucket per customer, refilled at the rate that the lender allows.

    Customers far below their allowance are served without a lease, and their use
    is reported to the lender afterwards.  For the others the lender leases each
    entry a part of the allowance.  An entry without a live lender uses its even
    share by the number of entries, which lenders do not lend to others.

    `now` is a monotonic clock in seconds; costs are in the customer's unit.
    """

    def __init__(self, *, started_ms: int) -> None:
        self._session = started_ms
        self._customers: dict[str, CustomerAccount] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._totals: dict[str, _Totals] = {}
        self._leases: dict[str, AllowanceLease] = {}
        self._leased_at = -LEASE_S
        self._known_entries = 1
        self._has_reported = False

    def set_known_entries(self, number: int) -> None:
        """Set how many entries there are, this one included."""
        self._known_entries = max(1, number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Apply a new configuration."""
        self._customers = {c.name: c for c in customers}
        for by_customer in (self._buckets, self._totals):
            for name in [n for n in by_customer if n not in self._customers]:
                del by_customer[name]
        for customer in customers:
            if customer.name not in self._buckets:
                burst = customer.burst / self._known_entries
                self._buckets[customer.name] = _Bucket(
                    rate_per_s=self._own_rate(customer),
                    burst=burst,
                    level=burst,
                    updated_at=now,
                )
            self._update_bucket(customer, now)

    def take(self, customer: CustomerAccount, cost: float, now: float) -> float:
        """Take a cost; return 0, or the seconds until there will be enough.

        The customer must be one of those last adopted.
        """
        if customer.rate_per_s <= 0:
            return 0.0
        self._update_bucket(customer, now)
        bucket = self._buckets[customer.name]
        totals = self._totals.setdefault(customer.name, _Totals())
        totals.asked += cost
        mean_cost = totals.mean_cost or cost
        totals.mean_cost = mean_cost + COST_SMOOTHING * (cost - mean_cost)
        needed = min(cost, bucket.burst)
        if bucket.level < needed:
            rate_per_s = max(bucket.rate_per_s, self._own_rate(customer))
            # An even share of the smallest of rates is rounded to 0.
            return (needed - bucket.level) / rate_per_s if rate_per_s else math.inf
        bucket.level -= cost
        totals.used += cost
        totals.recent.add(cost, now)
        if now - self._leased_at < LEASE_S:
            totals.unconfirmed += cost
        return 0.0

    def is_leased(self, now: float) -> bool:
        """Return whether a lender has answered recently."""
        return now - self._leased_at < LEASE_S

    def give_back(self, customer: CustomerAccount, cost: float) -> None:
        """Refund the cost of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate_per_s > 0:
            bucket.level += cost
            totals = self._totals.setdefault(customer.name, _Totals())
            totals.used -= cost
            totals.unconfirmed -= cost

    def begin_session(self, session: int) -> None:
        """Restart the totals for another lender.

        They include the use that the previous lender has not confirmed.
        """
        self._session = session
        self._has_reported = False
        self._leases = {}
        self._leased_at = -LEASE_S
        for totals in self._totals.values():
            totals.used = totals.unconfirmed
            totals.asked = totals.unconfirmed
            totals.reported = (0, 0)

    def report(self) -> UseReport:
        """Return the totals that changed since the last report."""
        uses = []
        for name, totals in self._totals.items():
            current = (int(totals.used), int(totals.asked))
            if current != totals.reported:
                totals.reported = current
                uses.append(
                    CustomerUse(customer=name, total=current[0], asked=current[1])
                )
        begins = not self._has_reported
        self._has_reported = True
        return UseReport(
            session=self._session,
            uses=tuple(uses),
            begins=begins,
            known=self._known_entries,
        )

    @property
    def has_unreported_use(self) -> bool:
        """Return whether totals changed since the last report."""
        return any(
            (int(t.used), int(t.asked)) != t.reported for t in self._totals.values()
        )

    def set_leases(self, body: AllowanceLeases, now: float) -> None:
        """Replace the leases by those of the current session's lender."""
        changed = set(self._leases)
        self._leases = {lease.customer: lease for lease in body.leases}
        self._leased_at = now
        for totals in self._totals.values():
            totals.unconfirmed = 0.0
        for name in changed | set(self._leases):
            if name in self._customers:
                self._update_bucket(self._customers[name], now)

    def _own_rate(self, customer: CustomerAccount) -> float:
        """Return this entry's even share of a customer's rate."""
        return customer.rate_per_s / self._known_entries

    def _update_bucket(self, customer: CustomerAccount, now: float) -> None:
        """Refill a bucket, then apply the limits that are now in effect."""
        bucket = self._buckets[customer.name]
        bucket.refill(now)
        if now - self._leased_at >= LEASE_S:
            bucket.rate_per_s = self._own_rate(customer)
            bucket.burst = customer.burst / self._known_entries
            bucket.level = min(bucket.level, bucket.burst)
            bucket.is_leased = True
            return
        lease = self._leases.get(customer.name)
        if lease is None:
            self._set_free(customer, bucket, now)
            return
        bucket.rate_per_s = float(lease.rate_per_s)
        totals = self._totals.get(customer.name, _Totals())
        bucket.burst = max(float(lease.burst), LEASED_REQUESTS * totals.mean_cost)
        if not bucket.is_leased:
            bucket.level = min(bucket.level, float(lease.level))
        bucket.level = min(bucket.level, bucket.burst)
        bucket.is_leased = True

    def _set_free(self, customer: CustomerAccount, bucket: _Bucket, now: float) -> None:
        """Apply the limits for a customer that is far below its allowance."""
        totals = self._totals.get(customer.name, _Totals())
        by_requests = FREE_REQUESTS * totals.mean_cost
        by_recent = FREE_GROWTH * totals.recent.at(now)
        rate = FREE_SHARES * self._own_rate(customer)
        burst = FREE_SHARES * customer.burst / self._known_entries
        bucket.rate_per_s = min(customer.rate_per_s, max(rate, by_requests, by_recent))
        bucket.burst = min(
            FREE_BURST_PART * customer.burst, max(burst, by_requests, by_recent)
        )
        if bucket.is_leased:
            bucket.level = bucket.burst
        bucket.is_leased = False
