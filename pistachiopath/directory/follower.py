"""A node that follows a control node, and what it has received."""

from __future__ import annotations

import attrs

FOLLOWER_LEASE_S = 3.0
# Replicas that a follower may ask for in one message.
MAX_ASKED = 200


@attrs.define(kw_only=True)
class Follower:
    """A follower of this control node.

    `since` is the last change of the directory that was sent to it, and `confirmed`
    the last one that it said it has.  While it receives the configuration of version
    `sent_version`, until it confirms it or `sent_until`, it is sent no other.
    """

    last_follow_at: float
    is_entry: bool
    wants_content: bool
    version: int = 0
    since: int = 0
    confirmed: int = 0
    sent_version: int = 0
    sent_until: float = 0.0

    def is_live(self, now: float) -> bool:
        """Return whether it has followed recently."""
        return now - self.last_follow_at < FOLLOWER_LEASE_S

    def is_receiving(self, now: float) -> bool:
        """Return whether a configuration is on its way."""
        return self.sent_version > self.version and now < self.sent_until

    def needs_content(self, version: int, now: float) -> bool:
        """Return whether to send the configuration of a version now."""
        if not self.wants_content or version <= self.version:
            return False
        return not self.is_receiving(now)
