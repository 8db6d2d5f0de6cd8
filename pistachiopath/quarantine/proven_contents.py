"""Contents that have run well lately, in bounded memory."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PROVEN = 4096


class ProvenContents:
    """Remembers when contents last ran well, the least recently proven go first.

    >>> proven = ProvenContents()
    >>> proven.add([b'part'], 5.0)
    >>> proven.at(b'part'), proven.at(b'other')
    (5.0, None)
    """

    def __init__(self) -> None:
        self._at: collections.OrderedDict[bytes, float] = collections.OrderedDict()

    def add(self, keys: Iterable[bytes], now: float) -> None:
        """Record that a run showed that these contents crash no replica."""
        for key in keys:
            self._at[key] = now
            self._at.move_to_end(key)
        while len(self._at) > MAX_PROVEN:
            self._at.popitem(last=False)

    def at(self, key: bytes) -> float | None:
        """Return when a content last ran well, or None if that is not known."""
        return self._at.get(key)
