"""Read-ahead buffer for the bytes that arrive on a connection."""

from __future__ import annotations

import contextlib
import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket

logger = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
# What a connection may buffer without memory of the budget for requests.
MAX_BUFFERED_BYTES = 16 * 1024


class InboundBytes:
    """Reads a socket in its own greenlet, so that a disconnect is noticed.

    Reading pauses once `MAX_BUFFERED_BYTES` are buffered, or what `set_room` allows,
    until they are taken.  `on_end` is called once when the peer has closed or reset the
    connection, or when it can't be read any more.
    """

    def __init__(self, *, sock: socket, on_end: Callable[[], None]) -> None:
        self.ended = False
        self._sock = sock
        self._on_end = on_end
        self._data = bytearray()
        self._room = MAX_BUFFERED_BYTES
        self._is_interrupted = False
        self._arrived = gevent.event.Event()
        self._has_room = gevent.event.Event()
        self._has_room.set()
        self._reader = gevent.spawn(self._read)

    @property
    def has_data(self) -> bool:
        """Whether any bytes are buffered."""
        return bool(self._data)

    def take(self, timeout_s: float) -> bytes | None:
        """Return the buffered bytes, b'' at the end, None after the timeout.

        Returns None after an interruption, too.

        Bytes that arrive together with the timeout are returned.
        """
        deadline = time.monotonic() + timeout_s
        while not self._data and not self.ended:
            self._arrived.clear()
            remaining_s = deadline - time.monotonic()
            is_waiting = remaining_s > 0 and not self._is_interrupted
            if is_waiting and self._arrived.wait(remaining_s):
                continue
            self.poll()
            if self._is_interrupted or not (self._data or self.ended):
                return None
        data = bytes(self._data)
        self._data.clear()
        self._update_room()
        return data

    def set_room(self, size: int) -> None:
        """Buffer up to `size` bytes from now on."""
        self._room = size
        self._update_room()

    def interrupt(self) -> None:
        """End the wait of `take`, and each later one until `resume`."""
        self._is_interrupted = True
        self._arrived.set()

    def resume(self) -> None:
        """Let `take` wait again."""
        self._is_interrupted = False

    def _update_room(self) -> None:
        if len(self._data) < self._room:
            self._has_room.set()
        else:
            self._has_room.clear()

    def poll(self) -> None:
        """Buffer the bytes that have arrived but have not been read yet.

        The wait of `take` ends with them, as the reader does not see them any more.
        The reader notices an end or an error of the connection by itself.
        """
        if self.ended or not self._has_room.is_set():
            return
        self._sock.settimeout(0.0)
        try:
            self._data += self._sock.recv(self._read_bytes())
        except OSError:
            return
        finally:
            self._sock.settimeout(None)
        self._update_room()
        if self._data:
            self._arrived.set()

    def stop(self) -> None:
        """Stop reading, and end the wait of `take`."""
        self._reader.kill(block=False)
        self.ended = True
        self._arrived.set()

    def _read(self) -> None:
        try:
            with contextlib.suppress(OSError):
                self._read_until_end()
        except Exception:
            # Without an end, a caller that leaves would never be noticed.
            logger.exception('reader_failed')
        self.ended = True
        self._arrived.set()
        self._on_end()

    def _read_until_end(self) -> None:
        """Buffer what arrives until the peer closes; raises `OSError`."""
        while True:
            self._has_room.wait()
            data = self._sock.recv(self._read_bytes())
            if not data:
                return
            self._data += data
            self._update_room()
            self._arrived.set()

    def _read_bytes(self) -> int:
        # A read of no bytes would look like the end of the connection.
        return max(1, min(READ_BYTES, self._room - len(self._data)))
