"""Allowances of customers as one entry may use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.allowance import CustomerUse, UseReport
from .recent_rate import RecentRate

if TYPE_CHECKING:
    from ..messages.allowance import AllowanceLease, AllowanceLeases
    from ..routes.customer_account import CustomerAccount

# Leases end by this entry's own clock, soon after its lender fell silent.
LEASE_S = 0.8
# Of a customer far below its allowance, an entry may let through so many times
# its share by number, or what it lately did, before its lender hears of it, but
# no less than a few requests: few come to each of many entries.
FREE_SHARES = 3.0
FREE_GROWTH = 4.0
FREE_BURST_PART = 0.5
FREE_REQUESTS = 3.0
# Who gets a part of a request a second saves it for the next one.
LEASED_REQUESTS = 2.0
COST_SMOOTHING = 0.1


@attrs.define(kw_only=True)
class _Bucket:
    """What this entry may let through of one customer; below zero it is owed."""

    rate_per_s: float
    burst: float
    level: float
    updated_at: float
    is_leased: bool = True

    def refill(self, now: float) -> None:
        """Add what has grown since the last time."""
        gained = (now - self.updated_at) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.updated_at = now


@attrs.define(kw_only=True)
class _Count:
    """Totals of a session with a lender, and what it has not confirmed."""

    used: float = 0.0
    asked: float = 0.0
    unheard: float = 0.0
    mean_cost: float = 0.0
    recent: RecentRate = attrs.field(factory=RecentRate)
    told: tuple[int, int] = (0, 0)


class LeasedAllowance:
    """A token bucket a customer, as this entry's lender lets it be filled.

    A customer far below its allowance is served freely, and the lender hears
    of it afterwards.  Of others the lender gives each entry a lease of a part.
    An entry that hears no lender has its share by number of entries, which
    lenders leave to it.

    `now` is a monotonic clock in seconds; costs are in the customer's unit.
    """

    def __init__(self, *, started_ms: int) -> None:
        self._session = started_ms
        self._customers: dict[str, CustomerAccount] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._counts: dict[str, _Count] = {}
        self._leases: dict[str, AllowanceLease] = {}
        self._heard_at = -LEASE_S
        self._known_entries = 1
        self._has_begun = False

    def set_known_entries(self, number: int) -> None:
        """Take in how many entries there are, this one included."""
        self._known_entries = max(1, number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Follow a new configuration."""
        self._customers = {c.name: c for c in customers}
        for known in (self._buckets, self._counts):
            for name in [n for n in known if n not in self._customers]:
                del known[name]
        for customer in customers:
            if customer.name not in self._buckets:
                burst = customer.burst / self._known_entries
                self._buckets[customer.name] = _Bucket(
                    rate_per_s=self._own_rate(customer),
                    burst=burst,
                    level=burst,
                    updated_at=now,
                )
            self._set_terms(customer, now)

    def take(self, customer: CustomerAccount, cost: float, now: float) -> float:
        """Take a cost; return 0, or the seconds until there will be enough.

        The customer must be one of those last adopted.
        """
        if customer.rate_per_s <= 0:
            return 0.0
        self._set_terms(customer, now)
        bucket = self._buckets[customer.name]
        count = self._counts.setdefault(customer.name, _Count())
        count.asked += cost
        mean_cost = count.mean_cost or cost
        count.mean_cost = mean_cost + COST_SMOOTHING * (cost - mean_cost)
        needed = min(cost, bucket.burst)
        if bucket.level < needed:
            missing = needed - bucket.level
            return missing / max(bucket.rate_per_s, self._own_rate(customer))
        bucket.level -= cost
        count.used += cost
        count.recent.add(cost, now)
        if now - self._heard_at < LEASE_S:
            count.unheard += cost
        return 0.0

    def give_back(self, customer: CustomerAccount, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate_per_s > 0:
            bucket.level += cost
            count = self._counts.setdefault(customer.name, _Count())
            count.used -= cost
            count.unheard -= cost

    def begin_session(self, session: int) -> None:
        """Count anew for another lender.

        What the lender before has probably not heard is counted along.
        """
        self._session = session
        self._has_begun = False
        self._leases = {}
        self._heard_at = -LEASE_S
        for count in self._counts.values():
            count.used = count.unheard
            count.asked = count.unheard
            count.told = (0, 0)

    def report(self) -> UseReport:
        """Return the totals that changed since the last report."""
        uses = []
        for name, count in self._counts.items():
            totals = (int(count.used), int(count.asked))
            if totals != count.told:
                count.told = totals
                uses.append(
                    CustomerUse(customer=name, total=totals[0], asked=totals[1])
                )
        begins = not self._has_begun
        self._has_begun = True
        return UseReport(
            session=self._session,
            uses=tuple(uses),
            begins=begins,
            known=self._known_entries,
        )

    @property
    def has_news(self) -> bool:
        """Tell whether totals changed since the last report."""
        return any((int(c.used), int(c.asked)) != c.told for c in self._counts.values())

    def heard(self, body: AllowanceLeases, now: float) -> None:
        """Take in the leases of the lender of this session."""
        changed = set(self._leases)
        self._leases = {lease.customer: lease for lease in body.leases}
        self._heard_at = now
        for count in self._counts.values():
            count.unheard = 0.0
        for name in changed | set(self._leases):
            if name in self._customers:
                self._set_terms(self._customers[name], now)

    def _own_rate(self, customer: CustomerAccount) -> float:
        """Return what this entry may let through without any lender."""
        return customer.rate_per_s / self._known_entries

    def _set_terms(self, customer: CustomerAccount, now: float) -> None:
        """Refill a bucket, and fill it from now on as the lender says."""
        bucket = self._buckets[customer.name]
        bucket.refill(now)
        if now - self._heard_at >= LEASE_S:
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
        count = self._counts.get(customer.name, _Count())
        bucket.burst = max(float(lease.burst), LEASED_REQUESTS * count.mean_cost)
        if not bucket.is_leased:
            bucket.level = min(bucket.level, float(lease.level))
        bucket.level = min(bucket.level, bucket.burst)
        bucket.is_leased = True

    def _set_free(self, customer: CustomerAccount, bucket: _Bucket, now: float) -> None:
        """Let a customer through that is far below its allowance."""
        count = self._counts.get(customer.name, _Count())
        few = FREE_REQUESTS * count.mean_cost
        lately = FREE_GROWTH * count.recent.at(now)
        rate = FREE_SHARES * self._own_rate(customer)
        burst = FREE_SHARES * customer.burst / self._known_entries
        bucket.rate_per_s = min(customer.rate_per_s, max(rate, few, lately))
        bucket.burst = min(FREE_BURST_PART * customer.burst, max(burst, few, lately))
        if bucket.is_leased:
            bucket.level = bucket.burst
        bucket.is_leased = False
