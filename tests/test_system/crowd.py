"""Clients that send large requests, most of which never end, to one address."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
import time
from pathlib import Path

CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 4096
# Bytes of a chunk that a client sends in a write of its own.
TINY_CHUNK_BYTES = 5
# Each of so many clients sends its request to the end.
WHOLE_EVERY = 5
# Clients that are not read any more stop after this time.
SEND_S = 2.5
# What has been sent may still be in the buffers of the kernel for this time.
HOLD_S = 1.0


class Crowd:
    """Concurrent clients; use as a context manager, whose end closes them.

    Four of five stop one byte before the end and keep the connection open.  Every
    second one sends its bytes in small pieces.  None reads what it is sent.
    """

    def __init__(self, *, address: str, head: bytes, body: bytes, size: int):
        host, port = address.rsplit(':', 1)
        self._address = (host, int(port))
        self._data = head + body
        self._size = size
        self._sockets: list[socket.socket] = []
        self._threads: list[threading.Thread] = []

    def __enter__(self):
        for number in range(self._size):
            with contextlib.suppress(OSError):
                sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
                sock.settimeout(0.2)
                self._sockets.append(sock)
                thread = threading.Thread(
                    target=self._send, args=(sock, number), daemon=True
                )
                self._threads.append(thread)
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()
        time.sleep(HOLD_S)
        return self

    def __exit__(self, *_exc_info):
        for sock in self._sockets:
            sock.close()

    def _send(self, sock: socket.socket, number: int):
        end = len(self._data) - (number % WHOLE_EVERY != 0)
        step = PIECE_BYTES if number % 2 else end
        view = memoryview(self._data)[:end]
        until = time.monotonic() + SEND_S
        sent = 0
        while sent < end and time.monotonic() < until:
            try:
                sent += sock.send(view[sent : sent + step])
            except TimeoutError:
                continue
            except OSError:
                return


def sized(request_line: str, size: int, *lines: str) -> tuple[bytes, bytes]:
    """Return head and body of a request with a length."""
    return _head(request_line, *lines, f'Content-Length: {size}'), b' ' * size


def chunked(
    request_line: str, size: int, *lines: str, chunk_bytes: int = 32 * 1024
) -> tuple[bytes, bytes]:
    """Return head and body of a request in chunks."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b' ' * chunk_bytes)
    body = chunk * (size // chunk_bytes) + b'0\r\n\r\n'
    return _head(request_line, *lines, 'Transfer-Encoding: chunked'), body


def _head(request_line: str, *lines: str) -> bytes:
    text = '\r\n'.join([f'{request_line} HTTP/1.1', *lines])
    return f'{text}\r\n\r\n'.encode()


class ProcessUse:
    """Memory and descriptors of a process, from `/proc`."""

    def __init__(self, pid: int):
        self._folder = Path(f'/proc/{pid}')
        self.rest_kb = self.resident_kb
        self.rest_descriptors = self.descriptors

    @property
    def peak_kb(self) -> int:
        """The largest resident memory since the start of the process."""
        return self._status('VmHWM')

    @property
    def resident_kb(self) -> int:
        """Resident memory."""
        return self._status('VmRSS')

    @property
    def descriptors(self) -> int:
        """Number of open descriptors."""
        return len(list((self._folder / 'fd').iterdir()))

    def _status(self, name: str) -> int:
        text = (self._folder / 'status').read_text()
        return int(re.search(rf'{name}:\s+(\d+) kB', text).group(1))
