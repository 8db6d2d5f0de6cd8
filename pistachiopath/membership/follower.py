"""Incremental views of the targets: the side of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Heartbeat, ViewRequest
from .load_digest import DIGEST_BYTES, unpack
from .rate_digest import apply_rates

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..messages.membership import View

MAX_VIEW_BYTES_PER_S = 2000.0
INTERVAL_MIN_S = 0.25
INTERVAL_MAX_S = 2.0
ENVELOPE_BYTES = 160
DESCRIPTION_BYTES = 260
MAX_PENDING_REQUESTS = 8


@attrs.define(kw_only=True)
class _SourceState:
    """State received from the feed of one replica."""

    feed: int = 0
    change: int = 0
    reports: dict[int, Heartbeat] = attrs.field(factory=dict)
    requested_at: dict[int, float] = attrs.field(factory=dict)


class FeedFollower:
    """Follows the feeds of several control replicas, each on its own.

    Views may be lost, delayed, duplicated or from an earlier process of a
    replica.  The ages in a view count from the time of its request, so that a
    view that was delayed in a socket does not make a silent target live.
    """

    def __init__(self, *, sources: tuple[str, ...]) -> None:
        self._sources = {source: _SourceState() for source in sources}
        self._number = 0

    def request(
        self, source: str, revision: int, entry: str, now: float
    ) -> ViewRequest:
        """Return the next view request to one replica."""
        state = self._sources[source]
        self._number += 1
        state.requested_at[self._number] = now
        if len(state.requested_at) > MAX_PENDING_REQUESTS:
            del state.requested_at[min(state.requested_at)]
        return ViewRequest(
            revision=revision,
            entry=entry,
            number=self._number,
            feed=state.feed,
            since=state.change,
        )

    def apply(self, source: str, view: View) -> list[tuple[Heartbeat, float]]:
        """Apply a view; return each live target's report and heartbeat time.

        The returned time is at most a millisecond later than the heartbeat.  A view
        that was not requested or does not continue the state is ignored and gives
        an empty list.
        """
        state = self._sources.get(source)
        requested_at = state.requested_at.pop(view.number, None) if state else None
        if requested_at is None or not self._match_feed(state, view):
            return []
        state.change = view.change
        apply_rates(view.rates, state.reports)
        return [
            *self._apply_descriptions(state, view, requested_at),
            *self._apply_loads(state, view, requested_at),
            *self._unchanged_reports(state, view, requested_at),
        ]

    @staticmethod
    def interval_s(view: View) -> float:
        """Return the time to the next request in seconds.

        It limits the views to `MAX_VIEW_BYTES_PER_S`, but is `INTERVAL_MAX_S` at
        most.
        """
        size = ENVELOPE_BYTES + len(view.loads) + len(view.alive) + len(view.rates)
        size += DESCRIPTION_BYTES * len(view.targets)
        return min(INTERVAL_MAX_S, max(INTERVAL_MIN_S, size / MAX_VIEW_BYTES_PER_S))

    @staticmethod
    def _match_feed(state: _SourceState, view: View) -> bool:
        """Return whether a view continues the state or starts a new feed.

        A new feed clears the state.
        """
        if view.feed == state.feed:
            return view.since <= state.change <= view.change
        if view.since:
            return False
        state.feed = view.feed
        state.reports.clear()
        return True

    @staticmethod
    def _apply_descriptions(
        state: _SourceState, view: View, requested_at: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        for target in view.targets:
            state.reports[target.slot] = target.report
            yield target.report, requested_at - target.age_ms / 1000

    @staticmethod
    def _apply_loads(
        state: _SourceState, view: View, requested_at: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        if len(view.loads) < DIGEST_BYTES:
            return
        windows = {slot: r.load.window for slot, r in state.reports.items()}
        for digest in unpack(view.loads, windows):
            report = attrs.evolve(state.reports[digest.slot], load=digest.load)
            state.reports[digest.slot] = report
            yield report, requested_at - digest.age_ms / 1000

    @staticmethod
    def _unchanged_reports(
        state: _SourceState, view: View, requested_at: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        alive = int.from_bytes(view.alive, 'little')
        heartbeat_at = requested_at - view.alive_age_ms / 1000
        for slot, report in state.reports.items():
            if alive >> slot & 1:
                yield report, heartbeat_at
