"""Lifetimes of replicas that may have ended without the control nodes knowing yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord

MAX_DOUBTS = 10_000
# A replica that starts again takes longer until it accepts connections.
RESTART_MIN_S = 0.5


class LifetimeDoubts:
    """Remembers replicas whose connections broke or were refused.

    Such a replica may start again under its name and address with other software.
    It then announces itself within `doubt_s`, so if it has not by then, it is the
    lifetime that it was.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, doubt_s: float) -> None:
        self._doubt_s = doubt_s
        self._noted_at: dict[tuple[str, int], float] = {}

    def note(self, record: ReplicaRecord, now: float) -> None:
        """Record a connection that broke or was refused."""
        key = (record.replica, record.born_ms)
        self._noted_at.pop(key, None)
        self._noted_at[key] = now
        while len(self._noted_at) > MAX_DOUBTS:
            del self._noted_at[next(iter(self._noted_at))]

    def accepted(self, record: ReplicaRecord, now: float) -> None:
        """Record that a replica accepted a connection.

        Right after a break it is still the process that it was.
        """
        key = (record.replica, record.born_ms)
        noted_at = self._noted_at.get(key)
        if noted_at is not None and now - noted_at < RESTART_MIN_S:
            del self._noted_at[key]

    def holds(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a lifetime may have ended."""
        noted_at = self._noted_at.get((record.replica, record.born_ms))
        return noted_at is not None and now - noted_at < self._doubt_s
