"""Output tokens of runs, as far as their answers show them."""

from __future__ import annotations

from collections import Counter

EVENT_MARK = b'data: '


class EventCounter:
    """Counts the server-sent events of each run, about one a token.

    An answer that is not streamed has none: it does not show its tokens.  A
    mark that is split between two parts is not counted.
    """

    def __init__(self) -> None:
        self._events: Counter[bytes] = Counter()

    def seen(self, key: bytes, data: bytes) -> None:
        """Count the events in a part of an answer."""
        self._events[key] += data.count(EVENT_MARK)

    def count(self, key: bytes) -> int:
        """Return the events of a run so far."""
        return self._events[key]

    def forget(self, key: bytes) -> int:
        """Drop a run; return how many events it had."""
        return self._events.pop(key, 0)
