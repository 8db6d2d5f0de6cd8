"""Sums of what entries reported about the versions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.rollout_totals import OrderTotals

# Kind of a time, and the size of the request, with its route where they are mixed.
TimeKey = tuple[str, int | tuple[str, int]]
MAX_SESSIONS = 1000


@attrs.define
class Times:
    """Number of times, and sums of their binary logarithms and of the squares."""

    number: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def add(self, other: Times, factor: int = 1) -> None:
        """Add other sums, or subtract them with a factor of -1."""
        self.number += factor * other.number
        self.log_sum += factor * other.log_sum
        self.log_squares += factor * other.log_squares

    @property
    def mean(self) -> float:
        """Mean logarithm."""
        return self.log_sum / self.number

    @property
    def variance(self) -> float:
        """Variance of the logarithms."""
        return max(0.0, self.log_squares / self.number - self.mean**2)


@attrs.define
class RouteSums:
    """Requests sent on a route, their ends, and their times by kind and size."""

    sent: int = 0
    ended: int = 0
    answered: int = 0
    failed: int = 0
    times: dict[TimeKey, Times] = attrs.field(factory=dict)

    def add(self, other: RouteSums, factor: int = 1) -> None:
        """Add other sums, or subtract them with a factor of -1."""
        self.sent += factor * other.sent
        self.ended += factor * other.ended
        self.answered += factor * other.answered
        self.failed += factor * other.failed
        for key, times in other.times.items():
            self.times.setdefault(key, Times()).add(times, factor)

    @property
    def judged(self) -> int:
        """Requests that were answered or failed."""
        return self.answered + self.failed


# Sums by route.
Sums = dict[str, RouteSums]


@attrs.define
class Comparison:
    """Sums of the ordered version and of all others."""

    new: Sums = attrs.field(factory=dict)
    old: Sums = attrs.field(factory=dict)

    def minus(self, earlier: Comparison) -> Comparison:
        """Return what has been added since."""
        result = Comparison()
        for target, now, before in (
            (result.new, self.new, earlier.new),
            (result.old, self.old, earlier.old),
        ):
            for route, sums in now.items():
                target[route] = RouteSums()
                target[route].add(sums)
                if route in before:
                    target[route].add(before[route], -1)
        return result

    @property
    def sent_new(self) -> int:
        """Requests sent to the ordered version."""
        return sum(s.sent for s in self.new.values())

    @property
    def sent_all(self) -> int:
        """Requests sent to any version."""
        return self.sent_new + sum(s.sent for s in self.old.values())

    @property
    def open_old(self) -> int:
        """Requests at the other versions that have not ended."""
        return sum(s.sent - s.ended for s in self.old.values())


class TotalsBook:
    """Keeps the newest totals of each process run of each entry for one order.

    Those of runs that have ended stay: their requests were sent.
    """

    def __init__(self) -> None:
        self._totals: dict[tuple[str, int], OrderTotals] = {}
        self._comparison: Comparison | None = None

    def merge(self, entry: str, session: int, totals: OrderTotals) -> None:
        """Take totals unless newer ones of the same process run are known."""
        key = (entry, session)
        known = self._totals.get(key)
        if known is None and len(self._totals) >= MAX_SESSIONS:
            return
        if known is None or _progress(totals) >= _progress(known):
            self._totals[key] = totals
            self._comparison = None

    def compare(self, to: str) -> Comparison:
        """Return the sums of a version, the same at each call, and of all others."""
        if self._comparison is None:
            self._comparison = self._compare(to)
        return self._comparison

    def _compare(self, to: str) -> Comparison:
        result = Comparison()
        for totals in self._totals.values():
            for row in totals.versions:
                sums = result.new if row.version == to else result.old
                sums.setdefault(row.route, RouteSums()).add(
                    RouteSums(
                        sent=row.sent,
                        ended=row.ended,
                        answered=row.answered,
                        failed=row.failed,
                        times={
                            (t.kind, t.size): Times(
                                t.number, t.log_sum / 1000, t.log_squares / 1000
                            )
                            for t in row.times
                        },
                    )
                )
        return result


def _progress(totals: OrderTotals) -> int:
    return sum(row.sent + row.ended for row in totals.versions)
