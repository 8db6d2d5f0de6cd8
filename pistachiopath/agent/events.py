"""Estimated output tokens of runs, from the events in their answers."""

from __future__ import annotations

from collections import Counter

EVENT_PREFIX = b'data: '


class EventCounter:
    """Counts the server-sent events of each run, about one for each token.

    An answer that is not streamed has no events, so its tokens are not counted.
    An event whose prefix is split between two parts is not counted either.
    """

    def __init__(self) -> None:
        self._events: Counter[bytes] = Counter()

    def add(self, key: bytes, data: bytes) -> None:
        """Add the events in a part of an answer."""
        self._events[key] += data.count(EVENT_PREFIX)

    def count(self, key: bytes) -> int:
        """Return the number of events of a run so far."""
        return self._events[key]

    def forget(self, key: bytes) -> int:
        """Drop a run; return its number of events."""
        return self._events.pop(key, 0)
