"""Parts of a snapshot that a follower is receiving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.replication import InstallSnapshot


class SnapshotParts:
    """Collects the parts of one snapshot; parts of another start it anew."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._source = (0, 0)

    def add(self, msg: InstallSnapshot) -> int:
        """Add a part if it is the next one; return the bytes held."""
        if (msg.term, msg.index) != self._source:
            self._data.clear()
            self._source = (msg.term, msg.index)
        if msg.offset == len(self._data):
            self._data += msg.data
        return len(self._data)

    def take(self) -> bytes:
        """Return the whole snapshot and forget it."""
        data = bytes(self._data)
        self._data.clear()
        self._source = (0, 0)
        return data
