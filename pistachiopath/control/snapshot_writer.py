"""Writes a snapshot in steps while the state continues to change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..transport.codec import encode_message
from ..transport.frames import pack

if TYPE_CHECKING:
    from ..messages.base import Message
    from .replicated_state import ReplicatedState


class SnapshotWriter:
    """Encodes the state as it was after the log record at `index`.

    Everything except the claims is encoded at once.  The claims are encoded in
    steps.
    """

    def __init__(self, *, state: ReplicatedState, index: int) -> None:
        self.index = index
        self._claims = state.claims
        self._cursor = state.claims.cursor(_encode)
        self._data = bytearray()
        for record in state.head_records():
            self._data += _encode(record)
        self._returned_bytes = 0

    @property
    def is_done(self) -> bool:
        """Return whether the snapshot is complete."""
        return self._cursor.is_done

    def step(self, claims: int) -> tuple[int, bytes]:
        """Encode about `claims` claims; return the new bytes and their offset."""
        for record in self._cursor.take(claims):
            self._data += record
        if self.is_done:
            self.abandon()
        offset = self._returned_bytes
        self._returned_bytes = len(self._data)
        return offset, bytes(self._data[offset:])

    def abandon(self) -> None:
        """Stop tracking changes of the claims."""
        self._claims.follow(None)

    def data(self) -> bytearray:
        """Return the snapshot without copying it, because a copy is slow."""
        return self._data


def _encode(record: Message) -> bytes:
    return pack(encode_message(record))
