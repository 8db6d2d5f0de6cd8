"""The nodes that a lender hears, and the part of allowances that is theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .reporter import Reporter

LIVE_S = 0.8
# Two parts that are cut off from each other both count on the whole for so long.
LENDER_LIVE_S = 0.45
FORGET_S = 30.0
# Lenders that are cut off from each other may share one that hears both.
OVERLAP_SAFETY = 0.75


class HeardNodes:
    """Entries that report to a lender, and the other lenders.

    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Reporter] = {}
        self.lenders: dict[str, Reporter] = {}
        self._known_entries = 1

    def set_known_entries(self, number: int) -> None:
        """Take in how many entries there are."""
        self._known_entries = max(1, number)

    def lost(self, name: str) -> None:
        """Take in that an entry or a lender is out of reach."""
        self.entries.pop(name, None)
        self.lenders.pop(name, None)

    def live_entries(self, now: float) -> list[str]:
        """Return the entries that report, and forget nodes long gone."""
        for reporters in (self.entries, self.lenders):
            for name, reporter in list(reporters.items()):
                if now - reporter.heard_at >= FORGET_S:
                    del reporters[name]
        return [n for n, e in self.entries.items() if now - e.heard_at < LIVE_S]

    def share(self, now: float) -> float:
        """Return the part of all allowances that belongs to the entries heard.

        Where all lenders heard hear as many entries as this one, the parts of
        all lenders and of lone entries are no more than the whole.  Otherwise
        some hear both sides of a cut.
        """
        heard = self.heard(now)
        known = self.known(now)
        if heard >= known:
            return 1.0
        if all(lender.heard == heard for lender in self.live_lenders(now)):
            return heard / known
        return OVERLAP_SAFETY * heard / known

    def live_lenders(self, now: float) -> list[Reporter]:
        """Return the other lenders that are heard."""
        lenders = self.lenders.values()
        return [r for r in lenders if now - r.heard_at < LENDER_LIVE_S]

    def heard(self, now: float) -> int:
        """Return how many entries are heard, here or by other lenders."""
        own = sum(now - e.heard_at < LIVE_S for e in self.entries.values())
        return own + sum(lender.entries for lender in self.live_lenders(now))

    def known(self, now: float) -> int:
        """Return how many entries there are, as any of those heard knows."""
        live = [e for e in self.entries.values() if now - e.heard_at < LIVE_S]
        told = [r.known for r in (*live, *self.live_lenders(now))]
        return max(self._known_entries, *told, 1)
