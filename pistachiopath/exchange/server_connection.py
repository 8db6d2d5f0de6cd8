"""Server side of one caller's connection."""

from __future__ import annotations

import struct
import time
from typing import TYPE_CHECKING

import gevent.socket as gsocket
import h11

from ..errors.exchange import BadHttp, CallerLeft
from .inbound import InboundBytes
from .request import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent
    from gevent.socket import socket

    from .limits import ExchangeLimits
    from .request import Headers


# The colon, space and line end of a header line.
HEADER_OVERHEAD_BYTES = 4
LINGER_S = 1.0
# `struct linger` with a timeout of 0.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ServerConnection:
    """Reads requests and writes their responses, one after the other.

    If the caller closes its connection while a request is being served,
    `CallerLeft` is raised in the greenlet that serves it, wherever that waits.
    `get_limits` returns the limits in force; each request is read with those that
    are in force when it begins.
    """

    def __init__(
        self, *, sock: socket, get_limits: Callable[[], ExchangeLimits]
    ) -> None:
        self.limits = get_limits()
        self._get_limits = get_limits
        self.closes_after_response = False
        self._is_cut = False
        self._has_read_request = False
        self._sock = sock
        self._http = self._new_parser()
        self._worker: gevent.Greenlet | None = None
        self._inbound = InboundBytes(sock=sock, on_end=self._on_end)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        if self._inbound.has_data or self._has_partial_head():
            return False
        return self._http.their_state is h11.IDLE

    @property
    def is_reading(self) -> bool:
        """Whether a part of the next request has arrived."""
        state = self._http.their_state
        return state is h11.SEND_BODY or (state is h11.IDLE and not self.is_idle)

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

        There is none if the connection ends before a complete head has arrived or
        if the idle timeout passes.  Raises `CallerLeft` if it ends within a body,
        and `BadHttp` for a request that can't be accepted; the connection must be
        closed after the response to it.
        """
        head = self._read_head()
        if head is None:
            return None
        body = self._read_body(head)
        self._has_read_request = True
        return HttpRequest(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            body=body,
        )

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
        self.respond(status, [], b'')

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
        if self.closes_after_response and not self._has_next_request():
            headers = [*headers, (b'connection', b'close')]
        return h11.Response(status_code=status, headers=headers)

    def _has_next_request(self) -> bool:
        """Return whether a part of the next request has arrived.

        It is answered too, so the current response can't announce a close.
        """
        if self._http.their_state is not h11.DONE:
            return False
        self._inbound.poll()
        return self._inbound.has_data or bool(self._http.trailing_data[0])

    def _write_all(self, events: list) -> None:
        try:
            data = b''.join(self._http.send(event) or b'' for event in events)
        except h11.LocalProtocolError as exc:
            raise BadHttp(status=502, reason=str(exc)) from exc
        self._is_cut = True
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerLeft from exc
        self._is_cut = False

    def _read_head(self) -> h11.Request | None:
        data = b''
        if not self._has_partial_head():
            data = self._await_request()
            if not data:
                return None
        self._adopt_limits()
        deadline = time.monotonic() + self.limits.header_timeout_s
        while True:
            if data:
                self._http.receive_data(data)
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._check_head(event)
                return event
            if event is not h11.NEED_DATA:
                return None
            data = self._inbound.take(max(0.0, deadline - time.monotonic()))
            if data is None:
                raise BadHttp(status=408, reason='header_timeout')
            if not data:
                return None

    def _await_request(self) -> bytes | None:
        """Return the first bytes of the next request.

        Returns b'' if the connection ends, and None after the idle timeout.

        The idle timeout is the longest that is in force at the beginning or at
        the end of the wait, as the caller may know either.  A new connection is
        not idle: its first request has the time for a head as well.
        """
        idle_since = time.monotonic()
        limits = self._get_limits()
        first_timeout_s = limits.idle_timeout_s
        if not self._has_read_request:
            first_timeout_s = max(first_timeout_s, limits.header_timeout_s)
        while True:
            timeout_s = max(first_timeout_s, self._get_limits().idle_timeout_s)
            remaining_s = idle_since + timeout_s - time.monotonic()
            data = self._inbound.take(max(0.0, remaining_s))
            if data is not None or remaining_s <= 0:
                return data

    def _adopt_limits(self) -> None:
        """Read the next request with the limits in force."""
        limits = self._get_limits()
        if limits == self.limits:
            return
        self.limits = limits
        unread, _ = self._http.trailing_data
        self._http = self._new_parser()
        if unread:
            self._http.receive_data(unread)

    def _has_partial_head(self) -> bool:
        """Return whether a part of a request head has arrived."""
        return bool(self._http.trailing_data[0])

    def _read_body(self, head: h11.Request) -> bytes:
        self._check_length(head)
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._receive_body()
                continue
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise BadHttp(status=400, reason='body_cut')
            size += len(event.data)
            if size > self.limits.max_body_bytes:
                raise BadHttp(status=413, reason='body_too_large')
            parts.append(bytes(event.data))

    def _receive_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write_all([interim])
        data = self._inbound.take(self.limits.header_timeout_s)
        if data is None:
            raise BadHttp(status=408, reason='body_timeout')
        if not data:
            raise CallerLeft
        self._http.receive_data(data)

    def _check_head(self, head: h11.Request) -> None:
        """Check the size of a head that arrived in one piece.

        h11 limits only heads that are incomplete after a read.
        """
        size = len(head.method) + len(head.target)
        size += sum(len(n) + len(v) + HEADER_OVERHEAD_BYTES for n, v in head.headers)
        if size > self.limits.max_header_bytes:
            raise BadHttp(status=431, reason='head_too_large')

    def _check_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b'content-length' and int(value) > self.limits.max_body_bytes:
                raise BadHttp(status=413, reason='body_too_large')

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadHttp(status=exc.error_status_hint, reason=str(exc)) from exc

    def _on_end(self) -> None:
        worker = self._worker
        if worker is not None:
            worker.kill(CallerLeft(), block=False)
