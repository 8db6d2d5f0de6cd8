"""Targets as one entry knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..messages.membership import View

LEASE_S = 2.0


@attrs.define(kw_only=True)
class KnownTarget:
    """A target and when it was last heard, in seconds of the entry's clock."""

    report: Heartbeat
    heard_at: float


class TargetTable:
    """Targets from views; a target is live for a lease after its report."""

    def __init__(self) -> None:
        self._targets: dict[str, KnownTarget] = {}

    def take(self, view: View, now: float) -> None:
        """Take in a view; older reports never replace newer ones."""
        for seen in view.targets:
            heard_at = now - seen.age_ms / 1000
            self._take_one(seen.report, heard_at)
        for name, known in list(self._targets.items()):
            if now - known.heard_at >= LEASE_S:
                del self._targets[name]

    def serving(self, name: str, now: float) -> Iterator[KnownTarget]:
        """Yield the live targets that serve a model or service."""
        for known in self._targets.values():
            report = known.report
            live = now - known.heard_at < LEASE_S and not report.departing
            if live and (name in report.models or name in report.services):
                yield known

    def names(self) -> set[str]:
        """Return every model and service that a known target serves."""
        served: set[str] = set()
        for known in self._targets.values():
            served.update(known.report.models, known.report.services)
        return served

    def _take_one(self, report: Heartbeat, heard_at: float) -> None:
        known = self._targets.get(report.target)
        if known is not None:
            newest = (known.report.incarnation, known.report.sequence)
            if (report.incarnation, report.sequence) <= newest:
                return
        self._targets[report.target] = KnownTarget(report=report, heard_at=heard_at)
