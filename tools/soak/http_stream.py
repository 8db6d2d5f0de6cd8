"""HTTP/1.1 on a socket, for the soak's stand-ins.

Only what the stand-ins need is here, without the product's parser: the soak must not
share its mistakes.
"""

from __future__ import annotations

import contextlib
import re
import struct
from typing import TYPE_CHECKING

import attrs
import gevent.socket as gsocket

from .topology import split_address

if TYPE_CHECKING:
    from collections.abc import Iterator

READ_BYTES = 64 * 1024
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
MAX_HEAD_BYTES = 64 * 1024
STATUS_LINE = re.compile(r'HTTP/1\.1 ([1-5][0-9][0-9])( |$)')
# With this option, closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class CutOff(Exception):
    """The connection ended within a message."""


class BadMessage(Exception):
    """The bytes are no message of HTTP."""


@attrs.define(kw_only=True, frozen=True)
class Head:
    """Start line and headers of a message; header names are in lower case."""

    start: str
    headers: dict[str, str]

    def get(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.headers.get(name.lower(), '')

    @property
    def status(self) -> int:
        """Status of a response; raises `BadMessage`."""
        match = STATUS_LINE.match(self.start)
        if match is None:
            raise BadMessage(self.start[:80])
        return int(match.group(1))


class HttpStream:
    """Reads and writes messages one after the other on a connection."""

    def __init__(self, *, sock: gsocket.socket) -> None:
        self.sock = sock
        self.sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        self._held = b''

    @classmethod
    def connect(cls, address: str, timeout_s: float) -> HttpStream:
        """Open a connection; raises `OSError`."""
        sock = gsocket.create_connection(split_address(address), timeout_s)
        sock.settimeout(None)
        return cls(sock=sock)

    @property
    def has_held_bytes(self) -> bool:
        """Whether bytes that no message asked for have been received."""
        return bool(self._held)

    def write(self, data: bytes) -> None:
        """Write bytes; raises `OSError`."""
        self.sock.sendall(data)

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of a body; an empty one ends the body."""
        self.write(b'%x\r\n%s\r\n' % (len(data), data))

    def read_head(self) -> Head | None:
        """Return the head of the next message, or None at the end of the connection.

        Raises `CutOff` within a head, `BadMessage` and `OSError`.
        """
        while HEAD_END not in self._held:
            data = self.sock.recv(READ_BYTES)
            if not data and not self._held:
                return None
            if not data:
                raise CutOff('within a head')
            self._held += data
            if len(self._held) > MAX_HEAD_BYTES and HEAD_END not in self._held:
                raise BadMessage('head is too large')
        head, _, self._held = self._held.partition(HEAD_END)
        start, *lines = head.decode('latin-1').split('\r\n')
        if not all(':' in line for line in lines):
            raise BadMessage(head[:80])
        pairs = (line.partition(':')[::2] for line in lines)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        return Head(start=start, headers=headers)

    def read_body(self, head: Head, *, until_end: bool = False) -> Iterator[bytes]:
        """Yield the parts of a message's body as they arrive.

        A body with neither a length nor chunks is empty, or with `until_end` it ends
        with the connection.  Raises `CutOff`, `BadMessage` and `OSError`.
        """
        length = head.get('content-length')
        if 'chunked' in head.get('transfer-encoding').lower():
            yield from self._read_chunks()
        elif length.isdigit():
            yield from self._read_length(int(length))
        elif until_end:
            while part := self._held or self.sock.recv(READ_BYTES):
                self._held = b''
                yield part

    def _read_length(self, length: int) -> Iterator[bytes]:
        while length:
            if not self._held:
                self._receive()
            part, self._held = self._held[:length], self._held[length:]
            length -= len(part)
            yield part

    def _read_chunks(self) -> Iterator[bytes]:
        size = -1
        while size:
            try:
                size = int(self._read_line(), 16)
            except ValueError as exc:
                raise BadMessage('size of a chunk') from exc
            yield from self._read_length(size)
            if self._read_line():
                raise BadMessage('chunk without its end')

    def _read_line(self) -> bytes:
        while LINE_END not in self._held:
            self._receive()
        line, _, self._held = self._held.partition(LINE_END)
        return line

    def _receive(self) -> None:
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise CutOff('within a body')
        self._held += data

    def is_open(self) -> bool:
        """Return whether the other side has not closed the connection."""
        try:
            flags = gsocket.MSG_PEEK | gsocket.MSG_DONTWAIT
            return bool(self.sock._sock.recv(1, flags))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def head_bytes(start: str, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END


def reset(sock: gsocket.socket) -> None:
    """Close a socket so that its peer sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
