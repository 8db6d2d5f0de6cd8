"""Reassembly of data that a follower receives in parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.replication import AppendPart, InstallSnapshot


class PartBuffer:
    """Collects the parts of one snapshot or record; a part of another starts over."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._term_and_index = (0, 0)

    def add(self, msg: InstallSnapshot | AppendPart) -> int:
        """Add a part if it is the next one; return the number of bytes held."""
        if (msg.term, msg.index) != self._term_and_index:
            self._data.clear()
            self._term_and_index = (msg.term, msg.index)
        if msg.offset == len(self._data):
            self._data += msg.data
        return len(self._data)

    def take(self) -> bytes:
        """Return the collected data and clear it."""
        data = bytes(self._data)
        self._data.clear()
        self._term_and_index = (0, 0)
        return data
