"""Server side of one caller's connection."""

from __future__ import annotations

import struct
import time
from typing import TYPE_CHECKING

import gevent.socket as gsocket
import h11

from ..errors.exchange import BadHttp, CallerLeft
from .inbound import InboundBytes
from .limits import usual_body
from .request_memory import STATUS_UNAVAILABLE, process_memory
from .request_reader import RequestReader

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent
    from gevent.socket import socket

    from .limits import BodyLimit, ExchangeLimits
    from .request import Headers, HttpRequest
    from .request_memory import RequestMemory


LINGER_S = 1.0
RETRY_AFTER = (b'retry-after', b'1')
# `struct linger` with a timeout of 0.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Larger responses are written piece by piece, without a copy of the whole.
MAX_JOINED_BYTES = 64 * 1024


class ServerConnection:
    """Reads requests and writes their responses, one after the other.

    If the caller closes its connection while a request is being served,
    `CallerLeft` is raised in the greenlet that serves it, wherever that waits.
    `get_limits` returns the limits in force, and `body_limit` is that of
    `RequestReader`.
    """

    def __init__(
        self,
        *,
        sock: socket,
        get_limits: Callable[[], ExchangeLimits],
        body_limit: BodyLimit = usual_body,
        memory: RequestMemory = process_memory,
    ) -> None:
        self.closes_after_response = False
        self._is_cut = False
        self._sock = sock
        self._worker: gevent.Greenlet | None = None
        self._inbound = InboundBytes(sock=sock, on_end=self._on_end)
        self._reader = RequestReader(
            inbound=self._inbound,
            get_limits=get_limits,
            send_continue=self._send_continue,
            body_limit=body_limit,
            memory=memory,
        )

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._reader.is_idle

    @property
    def is_reading(self) -> bool:
        """Whether a part of the next request has arrived."""
        return self._reader.is_reading

    @property
    def is_answered(self) -> bool:
        """Whether the response to the current request has been completed."""
        return self._http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def has_begun(self) -> bool:
        """Whether a part of the current response has been written."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def read_request(self) -> HttpRequest | None:
        """Return the next request, or None if there will be none.

        Raises `CallerLeft` and `BadHttp` as `RequestReader.read` does.
        """
        req = self._reader.read()
        if self._reader.leaves_body:
            self.closes_after_response = True
        return req

    def start_serving(self, worker: gevent.Greenlet) -> None:
        """Set the greenlet in which `CallerLeft` is raised if the caller leaves.

        Raises `CallerLeft` if the caller has already left.
        """
        if self._inbound.ended:
            raise CallerLeft
        self._worker = worker

    def stop_serving(self) -> None:
        """Clear the greenlet set by `start_serving`."""
        self._worker = None

    def release_request(self) -> None:
        """Free the memory that the current request holds."""
        self._reader.release()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        length = (b'content-length', b'%d' % len(body))
        self._write_all(
            [
                self._head(status, [*headers, length]),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ]
        )

    def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Write the head and first part of a response of unknown length."""
        self._write_all([self._head(status, headers), h11.Data(data=first)])

    def write(self, data: bytes) -> None:
        """Write a part of a response started by `begin`."""
        self._write_all([h11.Data(data=data)])

    def finish(self) -> None:
        """End a response started by `begin`."""
        self._write_all([h11.EndOfMessage()])

    @property
    def must_linger(self) -> bool:
        """Whether the caller may still have sent something before our close."""
        if not self.closes_after_response or self._inbound.ended:
            return False
        return self._http.our_state is h11.MUST_CLOSE

    def next_cycle(self) -> bool:
        """Prepare for the next request; return False if none can follow.

        None can after a response of which a part was not written.
        """
        if self._is_cut or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def reject(self, status: int) -> None:
        """Refuse a request that may be incomplete, as the last one."""
        self.closes_after_response = True
        self._inbound.resume()
        is_unavailable = status == STATUS_UNAVAILABLE
        self.respond(status, [RETRY_AFTER] if is_unavailable else [], b'')

    def linger(self) -> None:
        """Discard input for up to `LINGER_S` so that the caller can read the response.

        Closing a socket with unread input resets the connection, which may
        discard the response.
        """
        try:
            self._sock.shutdown(gsocket.SHUT_WR)
        except OSError:
            return
        deadline = time.monotonic() + LINGER_S
        while (remaining_s := deadline - time.monotonic()) > 0:
            if not self._inbound.take(remaining_s):
                return

    def close_if_idle(self) -> None:
        """Close the connection unless a part of a request has arrived."""
        self._inbound.poll()
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection.

        It is reset if its end would complete a response that has been cut.
        """
        self._inbound.stop()
        is_unfinished = self._http.our_state is h11.SEND_BODY
        if is_unfinished and self._http.their_http_version == b'1.0':
            self._sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self.closes_after_response and not self._reader.has_next_request():
            headers = [*headers, (b'connection', b'close')]
        return h11.Response(status_code=status, headers=headers)

    def _send_continue(self) -> None:
        self._write_all([h11.InformationalResponse(status_code=100, headers=[])])

    def _write_all(self, events: list) -> None:
        pieces: list[bytes] = []
        try:
            for event in events:
                pieces += self._http.send_with_data_passthrough(event) or ()
        except h11.LocalProtocolError as exc:
            raise BadHttp(status=502, reason=str(exc)) from exc
        self._is_cut = True
        try:
            for data in _joined(pieces):
                self._sock.sendall(data)
        except OSError as exc:
            raise CallerLeft from exc
        self._is_cut = False

    def _on_end(self) -> None:
        worker = self._worker
        if worker is not None:
            worker.kill(CallerLeft(), block=False)


def _joined(pieces: list[bytes]) -> list[bytes]:
    """Return the pieces of a response as they are to be written."""
    if sum(len(piece) for piece in pieces) > MAX_JOINED_BYTES:
        return pieces
    return [b''.join(pieces)]
