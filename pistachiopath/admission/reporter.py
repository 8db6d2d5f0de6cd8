"""A node that reports the use of customers' allowances."""

from __future__ import annotations

import attrs

from .recent_rate import RecentRate


@attrs.define(kw_only=True)
class Reporter:
    """An entry or another lender, and the totals of its last report.

    `entries` is the number of entries that report to it, `live_entries` includes
    those that report to other lenders, and `known_entries` is how many entries it
    knows of.  If `is_complete`, a customer without totals had no use at the first
    report; otherwise its earlier use is unknown.
    """

    reported_at: float
    session: int
    entries: int = 1
    live_entries: int = 1
    known_entries: int = 1
    is_complete: bool = False
    totals: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    demand: dict[str, RecentRate] = attrs.field(factory=dict)

    def counted_part(self, now: float, *, live_s: float) -> float:
        """Return the part of the use since the last report that is counted.

        It is less than 1 if the node was silent for longer than `live_s` seconds.
        """
        silent_s = now - self.reported_at
        return min(1.0, live_s / silent_s) if silent_s > 0 else 1.0
