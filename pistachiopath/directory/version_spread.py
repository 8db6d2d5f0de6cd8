"""Tells control nodes of versions that others of them know."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..messages.directory import Announcements
from ..streams.service_version import version_of
from .replica_state import ReplicaState

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord
    from ..streams.service_version import ServiceVersion
    from .subscriber import Subscriber

# Control nodes that hear each other have told each other by then.
SPREAD_INTERVAL_S = 0.3


class VersionSpread:
    """Establishes versions that control nodes can't tell each other of.

    While control nodes are cut off from each other, this node may hear both parts.
    It then passes one record of the version on, as a read in a quorum system writes
    back what it has read.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, subscriber: Subscriber) -> None:
        self._subscriber = subscriber
        self._seen_at: dict[ServiceVersion, float] = {}

    def tick(self, now: float) -> list[Send]:
        """Return the records that are due to control nodes without their version."""
        lacking = self._unestablished(now)
        self._seen_at = {v: self._seen_at.get(v, now) for v in lacking}
        effects: list[Send] = []
        for version, record in lacking.items():
            if now - self._seen_at[version] < SPREAD_INTERVAL_S:
                continue
            self._seen_at[version] = now
            body = Announcements(records=(record,))
            effects += [
                Send(to=control, call=0, body=body)
                for control in self._subscriber.lacking(version, now)
            ]
        return effects

    def _unestablished(self, now: float) -> dict[ServiceVersion, ReplicaRecord]:
        """Return one record of each version that is not established."""
        if not self._subscriber.has_unestablished(now):
            return {}
        return {
            version_of(record): record
            for record in self._subscriber.directory.records()
            if record.state != ReplicaState.GONE
            and not self._subscriber.is_established(version_of(record), now)
        }
