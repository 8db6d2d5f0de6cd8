"""Lends entries their parts of customers' allowances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.allowance import (
    AllowanceLease,
    AllowanceLeases,
    CustomerUse,
    UseReport,
)
from .heard_nodes import LENDER_LIVE_S, LIVE_S, HeardNodes
from .lender_bucket import LenderBucket
from .recent_rate import RecentRate
from .reporter import Reporter

if TYPE_CHECKING:
    from ..routes.customer_account import CustomerAccount

# Other lenders hear of what was lent within this time.
NEXT_REPORT_S = 0.05
# Lenders know each other's use a moment late: one bucket in one place would let
# some of what they refuse through.  This part of the overage makes up for it.
OVERAGE_SHARE = 0.5
# A burst of few requests refuses those that come close together; this part of
# the stated slack is let through as well, the rest is for what is under way.
SLACK_SHARE = 0.5
# A customer that has less of its burst left, or asks for more than its rate, is
# served by leases.
LEASED_PART = 0.5
# What is left or owed is spread over this time.
SETTLE_S = 2.0
# What was let through so long ago binds nobody any more.
MAX_DEBT_S = 4.0
# So much is shared evenly by all entries, whatever they had of the demand.
IDLE_PART = 0.05
# A lender that starts counts on what grew while it was gone: enough for those
# who waited meanwhile.  It knows all entries soon after.
START_PART = 0.6
SETTLED_S = 2.0


class AllowanceLender:
    """Counts what all entries use, and lends parts of what is scarce.

    Each entry reports to one lender; lenders report to each other for all of
    theirs.  A lender refills its copy of a bucket by the part of the allowance
    that belongs to the entries heard so, whoever else may lend the rest.
    All entries together may go beyond an allowance by `overage`, a part of it,
    and by `slack_tokens`.

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
        self._nodes = HeardNodes()
        self._told: dict[str, dict[str, tuple[int, int]]] = {}
        self._settled_at = math.inf

    def set_known_entries(self, number: int) -> None:
        """Take in how many entries there are."""
        self._nodes.set_known_entries(number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Follow a new configuration; customers new in it have a full burst."""
        is_first = not self._customers
        if is_first:
            self._settled_at = now + SETTLED_S
        limited = [c for c in customers if c.rate_per_s > 0]
        self._customers = {c.name: c for c in limited}
        for name in [n for n in self._buckets if n not in self._customers]:
            del self._buckets[name]
        for customer in limited:
            if customer.name not in self._buckets:
                part = START_PART if is_first else self._nodes.share(now)
                self._buckets[customer.name] = LenderBucket(
                    level=part * self._burst(customer), updated_at=now
                )

    def heard_entry(self, name: str, body: UseReport, now: float) -> bool:
        """Take in an entry's report; tell whether its session is a new one.

        What it used while it was not heard came out of its own share, by which
        the copy here was not refilled.
        """
        entry = self._nodes.entries.get(name)
        is_new = entry is None or entry.session != body.session
        if is_new:
            entry = Reporter(heard_at=now, session=body.session)
            self._nodes.entries[name] = entry
        silent_s = now - entry.heard_at
        counted = min(1.0, LIVE_S / silent_s) if silent_s > 0 else 1.0
        entry.heard_at = now
        entry.known = body.known
        if is_new and not body.begins:
            # The count began with a predecessor of this process.
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
                self._count(
                    use.customer,
                    counted * (use.total - used),
                    counted * (use.asked - asked),
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
        most = self._part_of_lender(now) * self._burst(account)
        if bucket.lent and bucket.lent + cost > most:
            return NEXT_REPORT_S
        bucket.level -= cost
        bucket.lent += cost
        bucket.used += int(cost)
        return 0.0

    def _part_of_lender(self, now: float) -> float:
        """Return the part that may be lent before other lenders hear of it."""
        if not self._nodes.live_lenders(now):
            return 1.0
        return len(self.live_entries(now)) / self._nodes.known(now)

    def heard_lender(self, name: str, body: UseReport, now: float) -> None:
        """Take in what another lender reports for its entries."""
        known = self._nodes.lenders.get(name)
        if known is None or known.session != body.session:
            # What was used before it was first heard is long refilled.
            totals = {u.customer: (u.total, u.asked) for u in body.uses}
            self._nodes.lenders[name] = Reporter(
                heard_at=now,
                session=body.session,
                is_complete=body.begins,
                totals=totals,
            )
        else:
            self._take_off(known, body, now)
        lender = self._nodes.lenders[name]
        lender.heard_at = now
        lender.entries = body.entries
        lender.heard = body.heard
        lender.known = body.known

    def _take_off(self, lender: Reporter, body: UseReport, now: float) -> None:
        """Take off what a lender's entries have used since it was last heard.

        What they used while it was not counted here came out of its own share,
        by which the copy here was not refilled.
        """
        silent_s = now - lender.heard_at
        counted = min(1.0, LENDER_LIVE_S / silent_s) if silent_s > 0 else 1.0
        share = self._nodes.share(now)
        for use in body.uses:
            nothing = (0, 0) if lender.is_complete else None
            told = lender.totals.get(use.customer, nothing)
            lender.totals[use.customer] = (use.total, use.asked)
            bucket = self._buckets.get(use.customer)
            if bucket is None or told is None:
                continue
            self._refill(use.customer, bucket, share, now)
            self._count(
                use.customer,
                counted * (use.total - told[0]),
                counted * (use.asked - told[1]),
                now,
            )

    def _count(self, name: str, used: float, asked: float, now: float) -> None:
        """Take off what was used."""
        bucket = self._buckets[name]
        least = -MAX_DEBT_S * self._customers[name].rate_per_s
        bucket.level = max(least, bucket.level - used)
        bucket.demand.add(asked, now)

    def lost(self, name: str) -> None:
        """Take in that an entry or a lender is out of reach."""
        self._nodes.lost(name)
        self._told.pop(name, None)

    def report(self, to: str, now: float) -> UseReport:
        """Return what changed of the totals of this lender's entries.

        `to` is the lender that is told.
        """
        for bucket in self._buckets.values():
            bucket.lent = 0.0
        begins = to not in self._told
        told = self._told.setdefault(to, {})
        uses = []
        for name, bucket in self._buckets.items():
            totals = (bucket.used, bucket.asked)
            if totals != told.get(name, (0, 0)):
                told[name] = totals
                uses.append(
                    CustomerUse(customer=name, total=totals[0], asked=totals[1])
                )
        return UseReport(
            session=self._session,
            uses=tuple(uses),
            begins=begins,
            is_lender=True,
            entries=len(self.live_entries(now)),
            heard=self._nodes.heard(now),
            known=self._nodes.known(now),
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
                part = self._part(entry, name, now)
                leases.append(self._lease(customer, part, share))
        return AllowanceLeases(leases=tuple(leases))

    def _is_scarce(
        self, customer: CustomerAccount, bucket: LenderBucket, share: float, now: float
    ) -> bool:
        if bucket.level < LEASED_PART * self._burst(customer) * share:
            return True
        return bucket.demand.at(now) > customer.rate_per_s * share

    def _part(self, entry: str, customer: str, now: float) -> float:
        """Return the part of an entry: of recent demand, and of what is spare."""
        demand = self._nodes.entries[entry].demand.get(customer, RecentRate()).at(now)
        total = max(demand, self._buckets[customer].demand.at(now))
        rate = self._customers[customer].rate_per_s
        spare = max(IDLE_PART, 1.0 - total / rate)
        by_demand = (1.0 - IDLE_PART) * demand / max(total, rate)
        return by_demand + spare / self._nodes.known(now)

    def _lease(
        self, customer: CustomerAccount, part: float, share: float
    ) -> AllowanceLease:
        bucket = self._buckets[customer.name]
        rate = self._rate(customer, share) + bucket.level / SETTLE_S
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
        most = self._burst(customer) * (share if now >= self._settled_at else 1.0)
        bucket.level = min(most, bucket.level + gained)
        bucket.updated_at = now
