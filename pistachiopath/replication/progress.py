"""What the leader knows of one follower."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Progress:
    """Replication state of a follower; `heard_at` is in seconds.

    `round` numbers the last message sent.  A snapshot in transfer holds its
    next byte in `offset`.
    """

    next_index: int
    heard_at: float
    match: int = 0
    round: int = 0
    sent_at: float = -1.0
    snapshot: bool = False
    offset: int = 0
