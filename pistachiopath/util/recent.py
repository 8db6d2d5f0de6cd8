"""A mapping of what was noted lately, bounded in time and number."""

from __future__ import annotations

from typing import Generic, TypeVar

Key = TypeVar('Key')
Value = TypeVar('Value')


class Recent(Generic[Key, Value]):
    """Keeps values for `retention_s` after they were noted, the newest `most` of them.

    `now` is a monotonic clock in seconds.

    >>> recent = Recent(retention_s=60.0, most=100)
    >>> recent.note('a', 1, now=0.0)
    >>> recent.get('a', now=59.0)
    1
    >>> recent.get('a', now=60.0) is None
    True
    """

    def __init__(self, *, retention_s: float, most: int) -> None:
        self._retention_s = retention_s
        self._most = most
        # Ordered by the time of the last note.
        self._noted: dict[Key, tuple[Value, float]] = {}

    def __len__(self) -> int:
        return len(self._noted)

    def note(self, key: Key, value: Value, now: float) -> None:
        """Keep a value, in place of the one that was noted before."""
        self._noted.pop(key, None)
        self._noted[key] = (value, now)
        while self._noted:
            oldest, (_, noted_at) = next(iter(self._noted.items()))
            is_old = now - noted_at >= self._retention_s
            if not is_old and len(self._noted) <= self._most:
                return
            del self._noted[oldest]

    def get(self, key: Key, now: float) -> Value | None:
        """Return a value, or None if there is none any more."""
        value, noted_at = self._noted.get(key, (None, now))
        return value if now - noted_at < self._retention_s else None
