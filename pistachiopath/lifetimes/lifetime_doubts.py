"""Lifetimes of replicas that may have ended without the control nodes knowing yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord

MAX_DOUBTS = 10_000
# A replica that starts again takes longer until it accepts connections.
RESTART_MIN_S = 0.5


@attrs.define(kw_only=True, frozen=True)
class _Doubt:
    """When a lifetime was doubted last, and since when it may have ended."""

    noted_at: float
    since: float

    @property
    def is_late(self) -> bool:
        """Return whether there was time for a restart before it was doubted."""
        return self.noted_at - self.since >= RESTART_MIN_S


class LifetimeDoubts:
    """Remembers replicas whose connections broke, were refused or closed early.

    Such a replica may start again under its name and address with other software.
    It then announces itself within `doubt_s`, so if it has not by then, it is the
    lifetime that it was.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, doubt_s: float) -> None:
        self._doubt_s = doubt_s
        self._doubts: dict[tuple[str, int], _Doubt] = {}

    def note(
        self, record: ReplicaRecord, now: float, *, since: float | None = None
    ) -> None:
        """Record a connection that broke, maybe as early as `since`."""
        key = (record.replica, record.born_ms)
        known = self._doubts.pop(key, None)
        if known is not None and known.is_late and now - known.noted_at < self._doubt_s:
            since = known.since
        since = now if since is None else since
        self._doubts[key] = _Doubt(noted_at=now, since=since)
        while len(self._doubts) > MAX_DOUBTS:
            del self._doubts[next(iter(self._doubts))]

    def accepted(self, record: ReplicaRecord, now: float) -> None:
        """Record that a replica accepted a connection.

        Right after a break it is still the process that it was.
        """
        key = (record.replica, record.born_ms)
        doubt = self._doubts.get(key)
        if doubt is not None and now - doubt.since < RESTART_MIN_S:
            del self._doubts[key]

    def holds(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a lifetime may have ended."""
        doubt = self._doubts.get((record.replica, record.born_ms))
        return doubt is not None and now - doubt.noted_at < self._doubt_s
