"""Targets as one control replica hears of them."""

from __future__ import annotations

import attrs

from ..membership.feed import Feed
from ..messages.membership import Heartbeat, TargetView

LEASE_S = 2.0
RETIRE_S = 10.0
FORGET_S = 60.0


@attrs.define(kw_only=True)
class _Heard:
    at: float
    sender: str
    report: Heartbeat


class Registry:
    """Soft state from heartbeats, by target name; `now` is in seconds.

    `feed` tells entries of it.
    """

    def __init__(self, *, feed_id: int = 0) -> None:
        self._heard: dict[str, _Heard] = {}
        self.feed = Feed(feed_id=feed_id, lease_s=LEASE_S)

    def heard(self, sender: str, report: Heartbeat, now: float) -> None:
        """Take in a heartbeat unless a newer incarnation is known."""
        known = self._heard.get(report.target)
        if known is not None and known.report.incarnation > report.incarnation:
            return
        self._heard[report.target] = _Heard(at=now, sender=sender, report=report)
        self.feed.update(report, now)

    def live(self, now: float) -> tuple[TargetView, ...]:
        """Return the targets whose lease has not run out."""
        return tuple(
            TargetView(age_ms=int((now - heard.at) * 1000), report=heard.report)
            for heard in self._heard.values()
            if now - heard.at < LEASE_S
        )

    def sender_of(self, target: str) -> str:
        """Return the name of the process that announces a target."""
        return self._heard[target].sender

    def last_heard(self, target: str, incarnation: int) -> float | None:
        """Return when an incarnation was heard last, or None."""
        known = self._heard.get(target)
        if known is None or known.report.incarnation != incarnation:
            return None
        return known.at

    def prune(self, now: float) -> None:
        """Forget targets that have been silent for long."""
        silent = [n for n, heard in self._heard.items() if now - heard.at >= FORGET_S]
        for name in silent:
            del self._heard[name]
        if silent:
            self.feed.retain(self._heard.keys())
