"""Replication progress of one follower, as known to the leader."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.define(kw_only=True)
class Transfer:
    """A snapshot or large record that a follower receives part by part.

    `index` is that of the record, or of the last one that the snapshot covers.
    `round` is the number of the last message that carried a part.
    """

    index: int
    is_snapshot: bool
    round: int = 0


class Window:
    """Records on their way to a follower, as their last index and their bytes."""

    def __init__(self) -> None:
        self.bytes = 0
        self._sent: deque[tuple[int, int]] = deque()

    def add(self, index: int, size: int) -> None:
        """Add the records up to an index, which were sent."""
        self._sent.append((index, size))
        self.bytes += size

    def confirm(self, index: int) -> None:
        """Remove what the follower has stored."""
        while self._sent and self._sent[0][0] <= index:
            self.bytes -= self._sent.popleft()[1]

    def clear(self) -> None:
        """Remove everything: it will be sent again."""
        self._sent.clear()
        self.bytes = 0


@attrs.define(kw_only=True)
class Progress:
    """Replication progress of a follower; times are in seconds.

    `match` is the last index known to be stored by the follower, `round` the
    number of the last message sent to it.  What was sent up to `restart_round` was
    overtaken by sending again from an earlier index.
    """

    next_index: int
    last_reply_at: float
    match: int = 0
    round: int = 0
    restart_round: int = 0
    sent_at: float = -1.0
    window: Window = attrs.Factory(Window)
    transfer: Transfer | None = None

    def restart(self, next_index: int) -> None:
        """Send again from an index on."""
        self.next_index = next_index
        self.restart_round = self.round
        self.window.clear()
        self.transfer = None

    def confirm(self, match: int) -> None:
        """Record that the follower has stored the records up to an index."""
        self.match = max(self.match, match)
        self.next_index = max(self.next_index, self.match + 1)
        self.window.confirm(self.match)
