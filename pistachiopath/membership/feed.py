"""Incremental views of the targets: the side of a control replica."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from .publication import Publication, without_loaded_models
from .view_builder import ViewBuilder

if TYPE_CHECKING:
    from collections.abc import Set

    from ..messages.membership import Heartbeat, View, ViewRequest


class Feed:
    """Numbers the changes of targets and builds views of the recent changes.

    A view describes a target in full when it is new or its description has
    changed.  Of any other live target it has a load digest if the load has
    changed by more than a tenth and 64 tokens, or if the heartbeat is late, and
    otherwise a bit in a bitmap.  Speeds are added if one of them has changed by
    more than a fifth.  An entry sends the feed's id and the number of the last change
    that it has received, so the next view makes up for a lost one.  An entry
    that sends the id of another feed receives all targets.  `now` is in seconds.
    """

    def __init__(self, *, feed_id: int, lease_s: float) -> None:
        self._id = feed_id
        self._lease_s = lease_s
        self._change = 0
        self._publications: dict[str, Publication] = {}
        self._free_slots: list[int] = []

    def update(self, report: Heartbeat, now: float) -> None:
        """Record a heartbeat that the registry has accepted."""
        publication = self._publications.get(report.target)
        if publication is None:
            self._publish_first(report, now)
        elif publication.update(report, now, self._change + 1, self._lease_s):
            self._change += 1

    def retain(self, kept: Set[str]) -> None:
        """Remove all targets except those in `kept`."""
        for name in self._publications.keys() - kept:
            heapq.heappush(self._free_slots, self._publications.pop(name).slot)

    def view(self, request: ViewRequest, revision: int, now: float) -> View:
        """Return the changes that are new to an entry and the other live targets."""
        since = request.since if request.feed == self._id else 0
        builder = ViewBuilder(since=since)
        for publication in self._publications.values():
            silent_s = now - publication.heartbeat_at
            if silent_s < self._lease_s:
                builder.add(publication, int(silent_s * 1000))
        return builder.build(
            revision=revision,
            number=request.number,
            feed=self._id,
            change=self._change,
        )

    def _publish_first(self, report: Heartbeat, now: float) -> None:
        self._change += 1
        self._publications[report.target] = Publication(
            slot=self._free_slot(),
            description_change=self._change,
            load_change=0,
            rates_change=0,
            published=without_loaded_models(report),
            heartbeat_at=now,
        )

    def _free_slot(self) -> int:
        """Return the lowest free slot.

        A slot may be reused at once, because the description of its new target
        replaces that of the previous one at the entries.
        """
        return (
            heapq.heappop(self._free_slots)
            if self._free_slots
            else len(self._publications)
        )
