"""Live targets of an entry, from their last reports."""

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
SAMPLE_SIZE = 24
HOMES_PER_CHUNK = 3


@attrs.define(kw_only=True)
class KnownTarget:
    """A target's last report and its time, in seconds of the entry's clock."""

    report: Heartbeat
    heartbeat_at: float


class TargetTable:
    """Last reports of targets; a target is live for `lease_s` after its report."""

    def __init__(self) -> None:
        self.lease_s = LEASE_S
        self._targets: dict[str, KnownTarget] = {}
        self._by_name: dict[str, list[str]] = {}
        self._rings: dict[str, list[tuple[int, str]]] = {}

    def update(self, reports: Iterable[tuple[Heartbeat, float]], now: float) -> None:
        """Store reports with their times, and remove targets that have expired.

        A report never replaces a newer one.
        """
        changed = False
        for report, heartbeat_at in reports:
            changed |= self._update_one(report, heartbeat_at)
        for name, known in list(self._targets.items()):
            if now - known.heartbeat_at >= self.lease_s:
                del self._targets[name]
                changed = True
        if changed:
            self._rebuild_index()

    def candidates(
        self,
        name: str,
        now: float,
        rng: random.Random,
        wanted: tuple[str, ...] = (),
    ) -> list[KnownTarget]:
        """Return live targets that serve a model or service.

        If there are many, a random sample of `SAMPLE_SIZE` is returned along
        with those in `wanted`, so that the cost of a choice does not grow
        with the number of targets.
        """
        names = self._by_name.get(name, [])
        if len(names) > SAMPLE_SIZE:
            names = {*rng.sample(names, SAMPLE_SIZE), *wanted}
        found = []
        for target in names:
            known = self._targets.get(target)
            if known is not None and self._is_serving(known, name, now):
                found.append(known)
        return found

    def near_homes(self, name: str, chunk: int) -> tuple[str, ...]:
        """Return the `HOMES_PER_CHUNK` targets that follow a chunk on the hash ring.

        There are none if `candidates` returns all targets anyway.
        """
        ring = self._rings.get(name)
        if not ring:
            return ()
        start = bisect.bisect(ring, (chunk, ''))
        points = (ring[(start + step) % len(ring)] for step in range(HOMES_PER_CHUNK))
        return tuple(dict.fromkeys(target for _, target in points))

    def names(self) -> set[str]:
        """Return every model and service that a known target serves."""
        return set(self._by_name)

    def _is_serving(self, known: KnownTarget, name: str, now: float) -> bool:
        report = known.report
        if report.departing or now - known.heartbeat_at >= self.lease_s:
            return False
        return name in report.models or name in report.services

    def _update_one(self, report: Heartbeat, heartbeat_at: float) -> bool:
        """Store a report; return whether the index has to be rebuilt."""
        known = self._targets.get(report.target)
        if known is not None:
            newest = (known.report.incarnation, known.heartbeat_at)
            if (report.incarnation, heartbeat_at) <= newest:
                return False
        self._targets[report.target] = KnownTarget(
            report=report, heartbeat_at=heartbeat_at
        )
        return known is None or (
            known.report.models != report.models
            or known.report.services != report.services
        )

    def _rebuild_index(self) -> None:
        self._by_name = {}
        for target, known in sorted(self._targets.items()):
            for name in (*known.report.models, *known.report.services):
                self._by_name.setdefault(name, []).append(target)
        self._rings = {
            name: sorted((xxhash.xxh3_64_intdigest(t.encode()), t) for t in targets)
            for name, targets in self._by_name.items()
            if len(targets) > SAMPLE_SIZE
        }
