"""Views of the targets as differences, at a control replica."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from .publication import Publication, for_entries
from .view_builder import ViewBuilder

if TYPE_CHECKING:
    from collections.abc import Set

    from ..messages.membership import Heartbeat, View, ViewRequest


class Feed:
    """Numbers the changes of targets and answers with those after a number.

    A target is described once and whenever its description changes.  While
    its load has changed by less than a tenth it is a bit in a map; otherwise
    its load is a digest.  An entry names the feed and the number up to which
    it knows: a lost answer is made up for by the next one, and an entry that
    knows another feed gets everything.  `now` is in seconds.
    """

    def __init__(self, *, feed_id: int, lease_s: float) -> None:
        self._id = feed_id
        self._lease_s = lease_s
        self._change = 0
        self._known: dict[str, Publication] = {}
        self._free: list[int] = []

    def heard(self, report: Heartbeat, now: float) -> None:
        """Take in a report that the registry took."""
        known = self._known.get(report.target)
        if known is None:
            self._publish_first(report, now)
        elif known.take(report, now, self._change + 1, self._lease_s):
            self._change += 1

    def forget(self, kept: Set[str]) -> None:
        """Drop all targets but those that are kept."""
        for name in self._known.keys() - kept:
            heapq.heappush(self._free, self._known.pop(name).slot)

    def view(self, request: ViewRequest, revision: int, now: float) -> View:
        """Return what is new to an entry, and which other targets live."""
        since = request.since if request.feed == self._id else 0
        builder = ViewBuilder(since=since)
        for known in self._known.values():
            silent_s = now - known.heard_at
            if silent_s < self._lease_s:
                builder.add(known, int(silent_s * 1000))
        return builder.build(
            revision=revision,
            number=request.number,
            feed=self._id,
            change=self._change,
        )

    def _publish_first(self, report: Heartbeat, now: float) -> None:
        self._change += 1
        self._known[report.target] = Publication(
            slot=self._free_slot(),
            described_at=self._change,
            loaded_at=0,
            rated_at=0,
            published=for_entries(report),
            heard_at=now,
        )

    def _free_slot(self) -> int:
        """Return the lowest free slot: a new description says who has it."""
        return heapq.heappop(self._free) if self._free else len(self._known)
