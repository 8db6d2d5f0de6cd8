"""Reports of simulated targets, and the views of them that entries receive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.feed import Feed
from ..membership.follower import FeedFollower

if TYPE_CHECKING:
    from ..messages.membership import Heartbeat
    from ..routing.targets import TargetTable
    from .clock import Clock
    from .sim_target import SimTarget

HEARTBEAT_S = 0.5
VIEW_INTERVAL_S = 0.25
LEASE_S = 2.0
FEED_SOURCE = 'control'
# A report that arrives later is dated as if it had taken this time.
MAX_REPORT_AGE_MS = 1500


class TargetReports:
    """Updates the target tables of entries from the heartbeats of targets.

    There is one table for each entry.  A heartbeat arrives `lag_s` seconds after
    it was sent.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        targets: dict[str, SimTarget],
        tables: list[TargetTable],
        lag_s: float,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._tables = tables
        self._lag_s = lag_s
        self._latest: dict[str, Heartbeat] = {}
        self._feed = Feed(feed_id=1, lease_s=LEASE_S)
        self._followers = [FeedFollower(sources=(FEED_SOURCE,)) for _ in tables]

    def start(self) -> None:
        """Begin to send heartbeats and to refresh the tables."""
        self._send_heartbeats()
        for number in range(len(self._tables)):
            self._clock.after(0.0, lambda n=number: self._refresh_view(n))

    def _send_heartbeats(self) -> None:
        for target in self._targets.values():
            if target.alive:
                report = target.heartbeat()
                self._clock.after(
                    self._lag_s,
                    lambda t=target.name, r=report: self._latest.update({t: r}),
                )
        self._clock.after(HEARTBEAT_S, self._send_heartbeats)

    def _refresh_view(self, number: int) -> None:
        now = self._clock.now
        age_ms = min(int(self._lag_s * 1000), MAX_REPORT_AGE_MS)
        for name, report in self._latest.items():
            if self._targets[name].alive:
                self._feed.update(report, now - age_ms / 1000)
        follower = self._followers[number]
        request = follower.request(FEED_SOURCE, 1, str(number), now)
        view = self._feed.view(request, 1, now)
        self._tables[number].update(follower.apply(FEED_SOURCE, view), now)
        self._clock.after(VIEW_INTERVAL_S, lambda: self._refresh_view(number))
