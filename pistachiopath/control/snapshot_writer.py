"""Writes a snapshot in steps, between which the state goes on changing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..transport.codec import encode_message
from ..transport.frames import pack

if TYPE_CHECKING:
    from ..messages.base import Message
    from .replicated_state import ReplicatedState


class SnapshotWriter:
    """A snapshot of the state as it was after the record `index`.

    Everything but the claims is encoded at once; claims follow in steps.
    """

    def __init__(self, *, state: ReplicatedState, index: int) -> None:
        self.index = index
        self._claims = state.claims
        self._cursor = state.claims.cursor(_encode)
        self._data = bytearray()
        for record in state.head_records():
            self._data += _encode(record)
        self._given = 0

    @property
    def is_done(self) -> bool:
        """Tell whether the snapshot is complete."""
        return self._cursor.is_done

    def step(self, claims: int) -> tuple[int, bytes]:
        """Encode about that many claims; return the new bytes and their offset."""
        for record in self._cursor.take(claims):
            self._data += record
        if self.is_done:
            self.abandon()
        offset = self._given
        self._given = len(self._data)
        return offset, bytes(self._data[offset:])

    def abandon(self) -> None:
        """Stop following the claims."""
        self._claims.follow(None)

    def data(self) -> bytearray:
        """Return the whole snapshot; a copy would take long."""
        return self._data


def _encode(record: Message) -> bytes:
    return pack(encode_message(record))
