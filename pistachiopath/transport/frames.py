"""Length-prefixed, checksummed frames on a stream socket."""

from __future__ import annotations

import struct
import time
import zlib
from typing import TYPE_CHECKING

from ..errors.transport import FrameTooLarge, LinkClosed, MalformedFrame
from ..util.turns import Turns

if TYPE_CHECKING:
    import socket

HEADER = struct.Struct('<II')
MAX_FRAME_BYTES = 8 * 1024 * 1024
# A peer that has not proved itself yet sends only its name, a nonce and a proof.
MAX_HANDSHAKE_FRAME_BYTES = 16 * 1024
READ_BYTES = 64 * 1024


def pack(payload: bytes) -> bytes:
    """Return the frame of a payload; raises `FrameTooLarge`."""
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLarge(size=len(payload), limit=MAX_FRAME_BYTES)
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


class FrameBuffer:
    """Splits a byte stream into payloads.

    `feed` adds received bytes; `next` returns a payload, or None while the
    frame is incomplete.  `next` raises `FrameTooLarge` or `MalformedFrame`,
    after which the buffer is unusable.
    """

    def __init__(self, *, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def next(self) -> bytes | None:
        """Return the next complete payload, or None."""
        if len(self._data) < HEADER.size:
            return None
        size, checksum = HEADER.unpack_from(self._data)
        if size > self.limit:
            raise FrameTooLarge(size=size, limit=self.limit)
        end = HEADER.size + size
        if len(self._data) < end:
            return None
        payload = bytes(self._data[HEADER.size : end])
        del self._data[:end]
        if zlib.crc32(payload) != checksum:
            raise MalformedFrame(reason='checksum')
        return payload


class FrameSocket:
    """Reads and writes frames on one connected socket.

    A frame that is read is at most `limit` bytes long until the peer is trusted.
    """

    def __init__(
        self, *, sock: socket.socket, peer: str, limit: int = MAX_FRAME_BYTES
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._buffer = FrameBuffer(limit=limit)
        self._turns = Turns(is_limited=False)

    def read(self) -> bytes:
        """Return the next payload; raises `LinkClosed` at the end of the stream."""
        self._turns.take()
        payload = self._buffer.next()
        while payload is None:
            began_at = time.monotonic()
            data = self._sock.recv(READ_BYTES)
            self._turns.received(len(data), began_at)
            if not data:
                raise LinkClosed(peer=self._peer)
            self._buffer.feed(data)
            payload = self._buffer.next()
        return payload

    def trust(self) -> None:
        """Accept frames of any legal size, after the peer has proved itself."""
        self._buffer.limit = MAX_FRAME_BYTES

    def write(self, payloads: list[bytes]) -> None:
        """Write each payload as a frame."""
        self._sock.sendall(b''.join(pack(payload) for payload in payloads))

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()
