"""Which followers are sent a configuration, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .follower import Follower

# A configuration that a follower has not confirmed in this time, and at this
# rate, is taken to be lost.  Links of small VMs carry 0.6 MB/s or more.
CONFIRM_TIMEOUT_S = 0.5
MIN_BYTES_PER_S = 250_000
# At most this much of configurations is on its way to all followers together, but
# one configuration at least.
MAX_CONTENT_BYTES_SENT = 2 * 1024 * 1024


class ContentTransfers:
    """Sends configurations to a few followers at a time, so that slow links hold few.

    Those with the lowest version go first.  `followers` are those of a control node,
    by name, and `waiting` the names of those that need the configuration and are not
    sent it yet.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, followers: Mapping[str, Follower]) -> None:
        self._followers = followers
        self._receiving: set[str] = set()
        self.waiting: set[str] = set()

    def choose(self, names: set[str], version: int, size: int, now: float) -> set[str]:
        """Return to which of these followers a configuration of `size` is sent now.

        A follower needs the newest version only, so those that come while it
        receives one are skipped.
        """
        self._receiving = {
            name
            for name in self._receiving
            if self._is_live(name, now) and self._followers[name].is_receiving(now)
        }
        needing = [
            name
            for name in names
            if self._is_live(name, now)
            and self._followers[name].needs_content(version, now)
        ]
        needing.sort(key=lambda name: (self._followers[name].version, name))
        most = max(1, MAX_CONTENT_BYTES_SENT // max(1, size))
        chosen = needing[: max(0, most - len(self._receiving))]
        for name in chosen:
            follower = self._followers[name]
            follower.sent_version = version
            follower.sent_until = now + CONFIRM_TIMEOUT_S + size / MIN_BYTES_PER_S
        self._receiving.update(chosen)
        self.waiting = set(needing) - self._receiving
        return set(chosen)

    def _is_live(self, name: str, now: float) -> bool:
        follower = self._followers.get(name)
        return follower is not None and follower.is_live(now)
