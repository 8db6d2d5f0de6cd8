"""Lends entries their shares of customers' allowances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.allowance import (
    AllowanceLease,
    AllowanceLeases,
    CustomerUse,
    UseReport,
)
from .heard_nodes import ENTRY_LIVE_S, LENDER_LIVE_S, LiveNodes
from .lender_bucket import LenderBucket
from .recent_rate import RecentRate
from .reporter import Reporter

if TYPE_CHECKING:
    from ..routes.customer_account import CustomerAccount

# Lent costs reach the other lenders with a report within this time.
REPORT_DELAY_S = 0.05
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
# At least this part is shared evenly by all entries, whatever their demand.
EVEN_PART = 0.05
# A lender starts with this part of each burst, for the allowance that accrued
# while it was down: enough for the requests that waited meanwhile.  It knows all
# entries after STARTUP_S; until then the level is not limited to its share.
INITIAL_LEVEL_PART = 0.6
STARTUP_S = 2.0


class AllowanceLender:
    """Counts the use of all entries, and lends shares of scarce allowances.

    Each entry reports to one lender, and lenders report to each other for all
    of their entries.  A lender refills its copy of a bucket by the share of the
    allowance that belongs to the entries covered by these reports, so that the
    rest is left to other lenders.  All entries together may exceed an allowance
    by `overage`, a part of it, and by `slack_tokens`.

    `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, session: int, overage: float = 0.0, slack_tokens: float = 0.0
    ) -> None:
        self._session = session
        self._headroom = 1.0 + OVERAGE_SHARE * overage
        self._slack_tokens = SLACK_SHARE * slack_tokens
        self._customers: dict[str, CustomerAccount] = {}
        self._buckets: dict[str, LenderBucket] = {}
        self._nodes = LiveNodes()
        self._reported: dict[str, dict[str, tuple[int, int]]] = {}
        self._startup_ends_at = math.inf

    def set_known_entries(self, number: int) -> None:
        """Set how many entries there are."""
        self._nodes.set_known_entries(number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Apply a new configuration.

        Customers of the first one start with `INITIAL_LEVEL_PART` of their
        burst, customers added later with this lender's share of it.
        """
        is_first = not self._customers
        if is_first:
            self._startup_ends_at = now + STARTUP_S
        limited = [c for c in customers if c.rate_per_s > 0]
        self._customers = {c.name: c for c in limited}
        for name in [n for n in self._buckets if n not in self._customers]:
            del self._buckets[name]
        for customer in limited:
            if customer.name not in self._buckets:
                part = INITIAL_LEVEL_PART if is_first else self._nodes.share(now)
                self._buckets[customer.name] = LenderBucket(
                    level=part * self._burst(customer), updated_at=now
                )

    def record_entry_report(self, name: str, body: UseReport, now: float) -> bool:
        """Record an entry's report; return whether its session is a new one.

        Use from a time when the entry was silent is counted only in part: the
        rest came out of the entry's own share, by which the copy here was not
        refilled.
        """
        entry = self._nodes.entries.get(name)
        is_new = entry is None or entry.session != body.session
        if is_new:
            entry = Reporter(reported_at=now, session=body.session)
            self._nodes.entries[name] = entry
        silent_s = now - entry.reported_at
        counted_part = min(1.0, ENTRY_LIVE_S / silent_s) if silent_s > 0 else 1.0
        entry.reported_at = now
        entry.known_entries = body.known
        if is_new and not body.begins:
            # The totals began with a predecessor of this process.
            entry.totals = {u.customer: (u.total, u.asked) for u in body.uses}
            return True
        share = self._nodes.share(now)
        for use in body.uses:
            used, asked = entry.totals.get(use.customer, (0, 0))
            entry.totals[use.customer] = (use.total, use.asked)
            demand = entry.demand.setdefault(use.customer, RecentRate())
            demand.add(use.asked - asked, now)
            bucket = self._buckets.get(use.customer)
            if bucket is not None:
                self._refill(use.customer, bucket, share, now)
                self._subtract(
                    use.customer,
                    counted_part * (use.total - used),
                    counted_part * (use.asked - asked),
                    now,
                )
                bucket.used += use.total - used
                bucket.asked += use.asked - asked
        return is_new

    def borrow(self, customer: str, cost: float, now: float) -> float:
        """Lend a single cost; return 0, or the seconds until there is enough."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return 0.0
        account = self._customers[customer]
        share = self._nodes.share(now)
        self._refill(customer, bucket, share, now)
        missing = min(cost, self._burst(account) * share) - bucket.level
        if missing > 0:
            return missing / max(1.0, self._rate(account, share))
        max_lent = self._own_share(now) * self._burst(account)
        if bucket.lent and bucket.lent + cost > max_lent:
            return REPORT_DELAY_S
        bucket.level -= cost
        bucket.lent += cost
        bucket.used += int(cost)
        return 0.0

    def _own_share(self, now: float) -> float:
        """Return the part of a burst that may be lent before the next report."""
        if not self._nodes.live_lenders(now):
            return 1.0
        return len(self.live_entries(now)) / self._nodes.known_count(now)

    def record_lender_report(self, name: str, body: UseReport, now: float) -> None:
        """Record a report of another lender for its entries."""
        previous = self._nodes.lenders.get(name)
        if previous is None or previous.session != body.session:
            # Use from before its first report has been refilled long since.
            totals = {u.customer: (u.total, u.asked) for u in body.uses}
            self._nodes.lenders[name] = Reporter(
                reported_at=now,
                session=body.session,
                is_complete=body.begins,
                totals=totals,
            )
        else:
            self._subtract_lender_use(previous, body, now)
        lender = self._nodes.lenders[name]
        lender.reported_at = now
        lender.entries = body.entries
        lender.live_entries = body.heard
        lender.known_entries = body.known

    def _subtract_lender_use(
        self, lender: Reporter, body: UseReport, now: float
    ) -> None:
        """Subtract what a lender's entries have used since its last report.

        Use from a time when the lender was silent is counted only in part: the
        rest came out of its own share, by which the copy here was not refilled.
        """
        silent_s = now - lender.reported_at
        counted_part = min(1.0, LENDER_LIVE_S / silent_s) if silent_s > 0 else 1.0
        share = self._nodes.share(now)
        for use in body.uses:
            default = (0, 0) if lender.is_complete else None
            previous = lender.totals.get(use.customer, default)
            lender.totals[use.customer] = (use.total, use.asked)
            bucket = self._buckets.get(use.customer)
            if bucket is None or previous is None:
                continue
            self._refill(use.customer, bucket, share, now)
            self._subtract(
                use.customer,
                counted_part * (use.total - previous[0]),
                counted_part * (use.asked - previous[1]),
                now,
            )

    def _subtract(self, name: str, used: float, asked: float, now: float) -> None:
        """Subtract use from a bucket, and add what was asked to its demand."""
        bucket = self._buckets[name]
        min_level = -MAX_DEBT_S * self._customers[name].rate_per_s
        bucket.level = max(min_level, bucket.level - used)
        bucket.demand.add(asked, now)

    def remove_node(self, name: str) -> None:
        """Remove an entry or a lender that is unreachable."""
        self._nodes.remove(name)
        self._reported.pop(name, None)

    def report(self, to: str, now: float) -> UseReport:
        """Return the changed totals of this lender's entries for another lender.

        `to` is the name of the receiver.
        """
        for bucket in self._buckets.values():
            bucket.lent = 0.0
        begins = to not in self._reported
        reported = self._reported.setdefault(to, {})
        uses = []
        for name, bucket in self._buckets.items():
            totals = (bucket.used, bucket.asked)
            if totals != reported.get(name, (0, 0)):
                reported[name] = totals
                uses.append(
                    CustomerUse(customer=name, total=totals[0], asked=totals[1])
                )
        return UseReport(
            session=self._session,
            uses=tuple(uses),
            begins=begins,
            is_lender=True,
            entries=len(self.live_entries(now)),
            heard=self._nodes.live_count(now),
            known=self._nodes.known_count(now),
        )

    def live_entries(self, now: float) -> list[str]:
        """Return the entries that report here."""
        return self._nodes.live_entries(now)

    def leases(self, entry: str, now: float) -> AllowanceLeases:
        """Return the leases of an entry that reports here."""
        share = self._nodes.share(now)
        leases = []
        for name, bucket in self._buckets.items():
            self._refill(name, bucket, share, now)
            customer = self._customers[name]
            is_scarce = self._is_scarce(customer, bucket, share, now)
            bucket.log(name, share, now, is_scarce=is_scarce)
            if is_scarce:
                part = self._entry_part(entry, name, now)
                leases.append(self._lease(customer, part, share))
        return AllowanceLeases(leases=tuple(leases))

    def _is_scarce(
        self, customer: CustomerAccount, bucket: LenderBucket, share: float, now: float
    ) -> bool:
        if bucket.level < SCARCE_LEVEL_PART * self._burst(customer) * share:
            return True
        return bucket.demand.at(now) > customer.rate_per_s * share

    def _entry_part(self, entry: str, customer: str, now: float) -> float:
        """Return an entry's part of an allowance.

        It is its part of the recent demand, and an even part of what is spare.
        """
        demand = self._nodes.entries[entry].demand.get(customer, RecentRate()).at(now)
        total = max(demand, self._buckets[customer].demand.at(now))
        rate = self._customers[customer].rate_per_s
        spare = max(EVEN_PART, 1.0 - total / rate)
        by_demand = (1.0 - EVEN_PART) * demand / max(total, rate)
        return by_demand + spare / self._nodes.known_count(now)

    def _lease(
        self, customer: CustomerAccount, part: float, share: float
    ) -> AllowanceLease:
        bucket = self._buckets[customer.name]
        rate = self._rate(customer, share) + bucket.level / LEVEL_SPREAD_S
        return AllowanceLease(
            customer=customer.name,
            rate_per_s=int(part * max(0.0, rate)),
            burst=int(part * self._burst(customer) * share),
            level=max(0, int(part * bucket.level)),
        )

    def _burst(self, customer: CustomerAccount) -> float:
        slack = self._slack_tokens if customer.counts_tokens else 0.0
        return customer.burst + slack

    def _rate(self, customer: CustomerAccount, share: float) -> float:
        factor = self._headroom if share >= 1.0 else share
        return customer.rate_per_s * factor

    def _refill(
        self, name: str, bucket: LenderBucket, share: float, now: float
    ) -> None:
        customer = self._customers[name]
        gained = (now - bucket.updated_at) * self._rate(customer, share)
        max_level = self._burst(customer) * (
            share if now >= self._startup_ends_at else 1.0
        )
        bucket.level = min(max_level, bucket.level + gained)
        bucket.updated_at = now
