"""Replication progress of one follower, as known to the leader."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Progress:
    """Replication progress of a follower; times are in seconds.

    `match` is the last index known to be stored by the follower, `round` the
    number of the last message sent to it.  `offset` is the position of the next
    byte of a snapshot that is being sent.
    """

    next_index: int
    last_reply_at: float
    match: int = 0
    round: int = 0
    sent_at: float = -1.0
    is_sending_snapshot: bool = False
    offset: int = 0
