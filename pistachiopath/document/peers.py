"""What a control node knows of the other control nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..directory.subscriber import Subscriber
from ..messages.directory import Announcements

if TYPE_CHECKING:
    from ..directory.announcer import Announcer
    from ..effects import Send
    from ..messages.directory import Follow, News


class ControlPeers:
    """Follows the other control nodes and serves those that follow this one.

    Methods return the messages to send.  `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, address: str, announcer: Announcer, seeds: tuple[str, ...], now: float
    ) -> None:
        self._announcer = announcer
        self._subscriber = Subscriber(is_entry=False, own_address=address)
        announcer.is_established = self._subscriber.is_established
        self.set_seeds(seeds, now)

    def set_seeds(self, seeds: tuple[str, ...], now: float) -> None:
        """Follow the control nodes at these addresses in addition to others."""
        self._subscriber.set_seeds(seeds, now)

    def contacts(self) -> tuple[str, ...]:
        """Return the other control nodes that are known."""
        return self._subscriber.controls()

    def tick(self, now: float) -> list[Send]:
        """Return the follow requests that are due."""
        return self._subscriber.tick(now)

    def on_follow(
        self, sender: str, body: Follow, now: float, *, call: int = 0
    ) -> list[Send]:
        """Record a follower, an entry or another control node, and reply to it."""
        if not body.is_entry:
            self._subscriber.add_control(sender, now)
        return self._announcer.follow(sender, body, now, call=call)

    def on_news(self, sender: str, body: News, now: float) -> list[Send]:
        """Merge the replica records of another control node.

        A configuration is taken only from the replicated log.
        """
        self._announcer.control_seen(sender, now)
        self._subscriber.on_news(sender, body, now)
        if not body.records:
            return []
        announcements = Announcements(records=body.records)
        return self._announcer.merge_announcements(announcements, now)
