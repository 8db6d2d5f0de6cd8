"""Views of the targets as differences, at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Heartbeat, ViewRequest
from .load_digest import DIGEST_BYTES, unpack
from .rate_digest import apply_rates

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..messages.membership import View

VIEW_BYTES_S = 2000.0
INTERVAL_MIN_S = 0.25
INTERVAL_MAX_S = 2.0
ENVELOPE_BYTES = 160
DESCRIPTION_BYTES = 260
MAX_ASKED = 8


@attrs.define(kw_only=True)
class _Source:
    """What is known from the feed of one replica."""

    feed: int = 0
    change: int = 0
    reports: dict[int, Heartbeat] = attrs.field(factory=dict)
    asked_at: dict[int, float] = attrs.field(factory=dict)


class FeedFollower:
    """Follows the feeds of several control replicas, each on its own.

    Answers may be lost, late, doubled or from a replica's earlier process.
    What a view tells held, at the latest, when it was asked for: an answer
    that lay in a socket must not make a silent target live.
    """

    def __init__(self, *, sources: tuple[str, ...]) -> None:
        self._sources = {source: _Source() for source in sources}
        self._number = 0

    def request(
        self, source: str, revision: int, entry: str, now: float
    ) -> ViewRequest:
        """Return the question for one replica."""
        known = self._sources[source]
        self._number += 1
        known.asked_at[self._number] = now
        if len(known.asked_at) > MAX_ASKED:
            del known.asked_at[min(known.asked_at)]
        return ViewRequest(
            revision=revision,
            entry=entry,
            number=self._number,
            feed=known.feed,
            since=known.change,
        )

    def take(self, source: str, view: View) -> list[tuple[Heartbeat, float]]:
        """Return each report that a view tells of, and when it held."""
        known = self._sources.get(source)
        asked_at = known.asked_at.pop(view.number, None) if known else None
        if asked_at is None or not self._continues(known, view):
            return []
        known.change = view.change
        apply_rates(view.rates, known.reports)
        return [
            *self._described(known, view, asked_at),
            *self._loaded(known, view, asked_at),
            *self._unchanged(known, view, asked_at),
        ]

    @staticmethod
    def interval_s(view: View) -> float:
        """Return when to ask again: views cost `VIEW_BYTES_S` at the most."""
        size = ENVELOPE_BYTES + len(view.loads) + len(view.alive) + len(view.rates)
        size += DESCRIPTION_BYTES * len(view.targets)
        return min(INTERVAL_MAX_S, max(INTERVAL_MIN_S, size / VIEW_BYTES_S))

    @staticmethod
    def _continues(known: _Source, view: View) -> bool:
        """Tell whether a view follows what is known, or begins anew."""
        if view.feed == known.feed:
            return view.since <= known.change <= view.change
        if view.since:
            return False
        known.feed = view.feed
        known.reports.clear()
        return True

    @staticmethod
    def _described(
        known: _Source, view: View, now: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        for seen in view.targets:
            known.reports[seen.slot] = seen.report
            yield seen.report, now - seen.age_ms / 1000

    @staticmethod
    def _loaded(
        known: _Source, view: View, now: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        if len(view.loads) < DIGEST_BYTES:
            return
        windows = {slot: r.load.window for slot, r in known.reports.items()}
        for digest in unpack(view.loads, windows):
            report = attrs.evolve(known.reports[digest.slot], load=digest.load)
            known.reports[digest.slot] = report
            yield report, now - digest.age_ms / 1000

    @staticmethod
    def _unchanged(
        known: _Source, view: View, now: float
    ) -> Iterator[tuple[Heartbeat, float]]:
        alive = int.from_bytes(view.alive, 'little')
        heard_at = now - view.alive_age_ms / 1000
        for slot, report in known.reports.items():
            if alive >> slot & 1:
                yield report, heard_at
