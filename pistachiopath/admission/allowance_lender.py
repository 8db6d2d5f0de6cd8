"""Lends entries their shares of customers' allowances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.allowance import (
    AllowanceLeases,
    CustomerUse,
    UseReport,
)
from .heard_nodes import ENTRY_LIVE_S, LENDER_LIVE_S, LiveNodes
from .lender_buckets import LenderBuckets
from .recent_rate import RecentRate
from .reporter import Reporter

if TYPE_CHECKING:
    from ..routes.customer_account import CustomerAccount

# Lent costs reach the other lenders with a report within this time.
REPORT_DELAY_S = 0.05
# At least this part is shared evenly by all entries, whatever their demand.
EVEN_PART = 0.05


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
        self._buckets = LenderBuckets(overage=overage, slack_tokens=slack_tokens)
        self._nodes = LiveNodes()
        self._reported: dict[str, dict[str, tuple[int, int]]] = {}

    def set_known_entries(self, number: int) -> None:
        """Set how many entries there are."""
        self._nodes.set_known_entries(number)

    def adopt(self, customers: tuple[CustomerAccount, ...], now: float) -> None:
        """Apply a new configuration."""
        self._buckets.adopt(customers, self._nodes.share(now), now)

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
        counted_part = entry.counted_part(now, live_s=ENTRY_LIVE_S)
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
            bucket = self._buckets.refill(use.customer, share, now)
            if bucket is not None:
                self._buckets.subtract(
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
        share = self._nodes.share(now)
        bucket = self._buckets.refill(customer, share, now)
        if bucket is None:
            return 0.0
        burst = self._buckets.burst(customer)
        missing = min(cost, burst * share) - bucket.level
        if missing > 0:
            return missing / max(1.0, self._buckets.rate(customer, share))
        max_lent = self._own_share(now) * burst
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
        counted_part = lender.counted_part(now, live_s=LENDER_LIVE_S)
        share = self._nodes.share(now)
        for use in body.uses:
            default = (0, 0) if lender.is_complete else None
            previous = lender.totals.get(use.customer, default)
            lender.totals[use.customer] = (use.total, use.asked)
            if previous is None:
                continue
            if self._buckets.refill(use.customer, share, now) is None:
                continue
            self._buckets.subtract(
                use.customer,
                counted_part * (use.total - previous[0]),
                counted_part * (use.asked - previous[1]),
                now,
            )

    def remove_node(self, name: str) -> None:
        """Remove an entry or a lender that is unreachable."""
        self._nodes.remove(name)
        self._reported.pop(name, None)

    def report(self, to: str, now: float) -> UseReport:
        """Return the changed totals of this lender's entries for another lender.

        `to` is the name of the receiver.
        """
        begins = to not in self._reported
        reported = self._reported.setdefault(to, {})
        uses = []
        for name, bucket in self._buckets.items():
            bucket.lent = 0.0
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
            self._buckets.refill(name, share, now)
            is_scarce = self._buckets.is_scarce(name, share, now)
            bucket.log(name, share, now, is_scarce=is_scarce)
            if is_scarce:
                part = self._entry_part(entry, name, bucket.demand.at(now), now)
                leases.append(self._buckets.lease(name, part, share))
        return AllowanceLeases(leases=tuple(leases))

    def _entry_part(
        self, entry: str, customer: str, total_demand: float, now: float
    ) -> float:
        """Return an entry's part of an allowance.

        It is its part of the recent demand, and an even part of what is spare.
        """
        demand = self._nodes.entries[entry].demand.get(customer, RecentRate()).at(now)
        total = max(demand, total_demand)
        rate = self._buckets.account(customer).rate_per_s
        spare = max(EVEN_PART, 1.0 - total / rate)
        by_demand = (1.0 - EVEN_PART) * demand / max(total, rate)
        return by_demand + spare / self._nodes.known_count(now)
