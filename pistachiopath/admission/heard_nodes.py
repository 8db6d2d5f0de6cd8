"""The nodes that report to a lender, and their share of allowances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .reporter import Reporter

ENTRY_LIVE_S = 0.8
# After a network partition both sides claim the whole allowance for this long.
LENDER_LIVE_S = 0.45
FORGET_S = 30.0
# Lenders on two sides of a network partition may both be connected to a third
# one and count its entries, so shares are reduced by this factor.
OVERLAP_SAFETY = 0.75


class LiveNodes:
    """Entries that report to a lender, and the other lenders.

    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Reporter] = {}
        self.lenders: dict[str, Reporter] = {}
        self._known_entries = 1

    def set_known_entries(self, number: int) -> None:
        """Set how many entries there are."""
        self._known_entries = max(1, number)

    def remove(self, name: str) -> None:
        """Remove an entry or a lender that is unreachable."""
        self.entries.pop(name, None)
        self.lenders.pop(name, None)

    def live_entries(self, now: float) -> list[str]:
        """Return the live entries, and forget nodes that are silent for long."""
        for reporters in (self.entries, self.lenders):
            for name, reporter in list(reporters.items()):
                if now - reporter.reported_at >= FORGET_S:
                    del reporters[name]
        return [
            n for n, e in self.entries.items() if now - e.reported_at < ENTRY_LIVE_S
        ]

    def share(self, now: float) -> float:
        """Return the part of all allowances that belongs to the live entries.

        If all live lenders count as many live entries as this one, the shares
        of all lenders and of isolated entries add up to at most the whole.
        Otherwise some lenders are connected to both sides of a partition, and
        the share is reduced.
        """
        live = self.live_count(now)
        known = self.known_count(now)
        if live >= known:
            return 1.0
        if all(lender.live_entries == live for lender in self.live_lenders(now)):
            return live / known
        return OVERLAP_SAFETY * live / known

    def live_lenders(self, now: float) -> list[Reporter]:
        """Return the other lenders that reported recently."""
        lenders = self.lenders.values()
        return [r for r in lenders if now - r.reported_at < LENDER_LIVE_S]

    def live_count(self, now: float) -> int:
        """Return how many entries report here or to other live lenders."""
        own = sum(now - e.reported_at < ENTRY_LIVE_S for e in self.entries.values())
        return own + sum(lender.entries for lender in self.live_lenders(now))

    def known_count(self, now: float) -> int:
        """Return the largest number of entries that any live node knows of."""
        live = [e for e in self.entries.values() if now - e.reported_at < ENTRY_LIVE_S]
        reported = [r.known_entries for r in (*live, *self.live_lenders(now))]
        return max(self._known_entries, *reported, 1)
