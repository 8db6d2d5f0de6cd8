"""Targets that send heartbeats to a control replica."""

from __future__ import annotations

import attrs

from ..membership.feed import Feed
from ..messages.membership import Heartbeat, TargetView

LEASE_S = 2.0
RETIRE_S = 10.0
RETENTION_S = 60.0


@attrs.define(kw_only=True)
class _LastHeartbeat:
    received_at: float
    sender: str
    report: Heartbeat


class Registry:
    """Holds the last heartbeat of each target, by name, in memory only.

    `feed` builds the views of the targets for entries.  `now` is in seconds.
    """

    def __init__(self, *, feed_id: int = 0) -> None:
        self._heartbeats: dict[str, _LastHeartbeat] = {}
        self.feed = Feed(feed_id=feed_id, lease_s=LEASE_S)

    def record_heartbeat(self, sender: str, report: Heartbeat, now: float) -> None:
        """Record a heartbeat unless one of a newer incarnation was received."""
        last = self._heartbeats.get(report.target)
        if last is not None and last.report.incarnation > report.incarnation:
            return
        self._heartbeats[report.target] = _LastHeartbeat(
            received_at=now, sender=sender, report=report
        )
        self.feed.update(report, now)

    def live(self, now: float) -> tuple[TargetView, ...]:
        """Return the targets whose lease has not expired."""
        return tuple(
            TargetView(age_ms=int((now - last.received_at) * 1000), report=last.report)
            for last in self._heartbeats.values()
            if now - last.received_at < LEASE_S
        )

    def sender_of(self, target: str) -> str:
        """Return the name of the process that sends heartbeats for a target."""
        return self._heartbeats[target].sender

    def last_heartbeat_at(self, target: str, incarnation: int) -> float | None:
        """Return when the last heartbeat of an incarnation arrived, or None."""
        last = self._heartbeats.get(target)
        if last is None or last.report.incarnation != incarnation:
            return None
        return last.received_at

    def prune(self, now: float) -> None:
        """Remove targets without a heartbeat for `RETENTION_S` seconds."""
        silent = [
            n
            for n, last in self._heartbeats.items()
            if now - last.received_at >= RETENTION_S
        ]
        for name in silent:
            del self._heartbeats[name]
        if silent:
            self.feed.retain(self._heartbeats.keys())
