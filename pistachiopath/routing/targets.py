"""Targets as one entry knows them."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs
import xxhash

from ..messages.membership import Heartbeat

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

LEASE_S = 2.0
SAMPLE = 24
HOMES = 3


@attrs.define(kw_only=True)
class KnownTarget:
    """A target and when it was last heard, in seconds of the entry's clock."""

    report: Heartbeat
    heard_at: float


class TargetTable:
    """Targets as they were reported; a target is live for `lease_s` after that."""

    def __init__(self) -> None:
        self.lease_s = LEASE_S
        self._targets: dict[str, KnownTarget] = {}
        self._by_name: dict[str, list[str]] = {}
        self._rings: dict[str, list[tuple[int, str]]] = {}

    def update(self, reports: Iterable[tuple[Heartbeat, float]], now: float) -> None:
        """Take in reports and when they held; older ones replace no newer."""
        changed = False
        for report, heard_at in reports:
            changed |= self._take_one(report, heard_at)
        for name, known in list(self._targets.items()):
            if now - known.heard_at >= self.lease_s:
                del self._targets[name]
                changed = True
        if changed:
            self._index()

    def candidates(
        self,
        name: str,
        now: float,
        rng: random.Random,
        wanted: tuple[str, ...] = (),
    ) -> list[KnownTarget]:
        """Return live targets that serve a model or service.

        With many targets it is a random sample of `SAMPLE`, so that a choice
        costs the same at any size, and those wanted besides.
        """
        names = self._by_name.get(name, [])
        if len(names) > SAMPLE:
            names = {*rng.sample(names, SAMPLE), *wanted}
        found = []
        for target in names:
            known = self._targets.get(target)
            if known is not None and self._is_serving(known, name, now):
                found.append(known)
        return found

    def near_homes(self, name: str, chunk: int) -> tuple[str, ...]:
        """Return the few targets that follow a chunk on the hash ring."""
        ring = self._rings.get(name)
        if not ring:
            return ()
        start = bisect.bisect(ring, (chunk, ''))
        places = (ring[(start + step) % len(ring)] for step in range(HOMES))
        return tuple(dict.fromkeys(target for _, target in places))

    def names(self) -> set[str]:
        """Return every model and service that a known target serves."""
        return set(self._by_name)

    def _is_serving(self, known: KnownTarget, name: str, now: float) -> bool:
        report = known.report
        if report.departing or now - known.heard_at >= self.lease_s:
            return False
        return name in report.models or name in report.services

    def _take_one(self, report: Heartbeat, heard_at: float) -> bool:
        """Take in a report; tell whether what is served where has changed."""
        known = self._targets.get(report.target)
        if known is not None:
            newest = (known.report.incarnation, known.heard_at)
            if (report.incarnation, heard_at) <= newest:
                return False
        self._targets[report.target] = KnownTarget(report=report, heard_at=heard_at)
        return known is None or (
            known.report.models != report.models
            or known.report.services != report.services
        )

    def _index(self) -> None:
        self._by_name = {}
        for target, known in sorted(self._targets.items()):
            for name in (*known.report.models, *known.report.services):
                self._by_name.setdefault(name, []).append(target)
        self._rings = {
            name: sorted((xxhash.xxh3_64_intdigest(t.encode()), t) for t in targets)
            for name, targets in self._by_name.items()
            if len(targets) > SAMPLE
        }
