"""Lifetimes of replicas that may have ended without the control nodes knowing yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..messages.directory import ReplicaRecord

MAX_DOUBTS = 10_000
# A replica that starts again takes longer until it accepts connections.
RESTART_MIN_S = 0.5
# Default of `doubt_s`.
DOUBT_S = 3.6
# An announcement may be on its way for this long, and arrive after its sender's end.
MAX_REPORT_DELAY_S = 5.0


@attrs.define(kw_only=True, frozen=True)
class _Break:
    """A lifetime may have ended between `since` and `noted_at`."""

    since: float
    noted_at: float

    def joined(self, other: _Break | None) -> _Break:
        """Return both as one."""
        if other is None:
            return self
        return _Break(
            since=min(self.since, other.since),
            noted_at=max(self.noted_at, other.noted_at),
        )


@attrs.define(kw_only=True)
class _Doubt:
    """Breaks of a lifetime's connections.

    `recent` is forgotten if the replica accepts a connection too early for a
    restart, `standing` is not.
    """

    recent: _Break | None = None
    standing: _Break | None = None

    def breaks(self) -> Iterator[_Break]:
        """Yield what is not forgotten."""
        for found in (self.recent, self.standing):
            if found is not None:
                yield found


class LifetimeDoubts:
    """Remembers replicas whose connections broke, were refused or closed early.

    Such a replica may start again under its name and address with other software.
    It then announces itself within `doubt_s`, so if it has not by then, it is the
    lifetime that it was.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, doubt_s: float = DOUBT_S) -> None:
        self._doubt_s = doubt_s
        self._doubts: dict[tuple[str, int], _Doubt] = {}

    def note(
        self, record: ReplicaRecord, now: float, *, since: float | None = None
    ) -> None:
        """Record a connection that broke, maybe as early as `since`."""
        key = (record.replica, record.born_ms)
        doubt = self._doubts.pop(key, None) or _Doubt()
        found = _Break(since=now if since is None else since, noted_at=now)
        if doubt.recent is not None and now - doubt.recent.since >= RESTART_MIN_S:
            doubt.standing = doubt.recent.joined(doubt.standing)
            doubt.recent = None
        doubt.recent = found.joined(doubt.recent)
        self._doubts[key] = doubt
        while len(self._doubts) > MAX_DOUBTS:
            del self._doubts[next(iter(self._doubts))]

    def accepted(self, record: ReplicaRecord, now: float) -> None:
        """Record that a replica accepted a connection.

        Right after a break it is still the process that it was.
        """
        doubt = self._doubts.get((record.replica, record.born_ms))
        if doubt is None or doubt.recent is None:
            return
        if now - doubt.recent.since >= RESTART_MIN_S:
            return
        doubt.recent = None
        if doubt.standing is None:
            del self._doubts[record.replica, record.born_ms]

    def holds(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a lifetime may have ended."""
        breaks = self._breaks(record.replica, record.born_ms)
        return any(now - b.noted_at < self._doubt_s for b in breaks)

    def known_until(self, replica: str, born_ms: int, announced_at: float) -> float:
        """Return until when a lifetime ran that announced itself last at a time.

        What arrived soon after a break may have been sent before it.
        """
        until = announced_at
        for found in self._breaks(replica, born_ms):
            if announced_at < found.noted_at + MAX_REPORT_DELAY_S:
                until = min(until, found.since)
        return until

    def _breaks(self, replica: str, born_ms: int) -> tuple[_Break, ...]:
        doubt = self._doubts.get((replica, born_ms))
        return tuple(doubt.breaks()) if doubt is not None else ()
