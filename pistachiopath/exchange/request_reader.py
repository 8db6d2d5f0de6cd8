"""Reading of the requests that arrive on a caller's connection."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import h11

from ..errors.exchange import BadHttp, CallerLeft
from ..util.turns import Turns
from .chunk_merger import ChunkMerger
from .inbound import MAX_BUFFERED_BYTES, READ_BYTES
from .limits import UNBOUNDED, BodyBound, usual_body
from .request import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from .inbound import InboundBytes
    from .limits import BodyLimit, ExchangeLimits
    from .request_memory import HeldMemory, RequestMemory

# The colon, space and line end of a header line.
HEADER_OVERHEAD_BYTES = 4
HEAD_END = b'\r\n\r\n'
# While requests wait for memory, a body must advance by so much within the time that it
# otherwise has for any byte: tiny pieces could hold the memory for ever.
PROGRESS_BYTES = 16 * 1024


class RequestReader:
    """Parses requests one after the other, within the limits in force.

    `get_limits` returns the limits; each request is read with those that are in
    force when it begins.  `http` is the parser, which also tracks the responses;
    new limits replace it between requests.  `send_continue` writes the interim
    response for which a caller may wait before it sends a body.  Where `body_limit` is
    0, the body is left unread, and the connection must be closed after the response.
    What a request holds of `memory` is freed by `release`.
    """

    def __init__(
        self,
        *,
        inbound: InboundBytes,
        get_limits: Callable[[], ExchangeLimits],
        send_continue: Callable[[], None],
        memory: RequestMemory,
        body_limit: BodyLimit = usual_body,
    ) -> None:
        self.leaves_body = False
        self._body_limit = body_limit
        self._bound = UNBOUNDED
        self._memory = memory
        self._held: HeldMemory | None = None
        self._progress_at = 0.0
        self._progress_bytes = 0
        self._inbound = inbound
        self._get_limits = get_limits
        self._send_continue = send_continue
        self._limits = get_limits()
        self._has_read_request = False
        self._turns = Turns()
        # What is done with the bytes of a body before they are parsed.
        self._merge: Callable[[bytes], bytes] = bytes
        self.http = self._new_parser()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        if self._inbound.has_data or self._has_partial_head():
            return False
        return self.http.their_state is h11.IDLE

    @property
    def is_reading(self) -> bool:
        """Whether a part of the next request has arrived."""
        state = self.http.their_state
        return state is h11.SEND_BODY or (state is h11.IDLE and not self.is_idle)

    def has_next_request(self) -> bool:
        """Return whether a part of the request after the current one has arrived.

        It is answered too, so the current response can't announce a close.
        """
        if self.http.their_state is not h11.DONE:
            return False
        self._inbound.poll()
        return self._inbound.has_data or bool(self._unparsed)

    def read(self) -> HttpRequest | None:
        """Return the next request, or None if there will be none.

        There is none if the connection ends before a complete head has arrived or
        if the idle timeout passes.  Raises `CallerLeft` if it ends within a body,
        and `BadHttp` for a request that can't be accepted; the connection must be
        closed after the response to it.
        """
        self._turns.begin()
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

    def release(self) -> None:
        """Free what the current request holds."""
        if self._held is not None:
            self._held.release()
            self._held = None

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _read_head(self) -> h11.Request | None:
        data = b''
        if not self._has_partial_head():
            data = self._await_request()
            if not data:
                return None
        self._adopt_limits()
        deadline = time.monotonic() + self._limits.header_timeout_s
        while True:
            following = self._receive_head(data)
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._begin_body(event, following)
                self._check_head(event)
                return event
            if event is not h11.NEED_DATA:
                return None
            data = self._take(max(0.0, deadline - time.monotonic()))
            if data is None:
                raise BadHttp(status=408, reason='header_timeout')
            if not data:
                return None

    def _receive_head(self, data: bytes) -> bytes:
        """Pass on the bytes of a head for parsing; return those that follow it."""
        before = self._unparsed[1 - len(HEAD_END) :]
        at = (before + data).find(HEAD_END)
        end = len(data) if at < 0 else at + len(HEAD_END) - len(before)
        if data:
            self.http.receive_data(data[:end])
        return data[end:]

    def _begin_body(self, head: h11.Request, data: bytes) -> None:
        """Pass on the bytes that follow a head for parsing."""
        self._merge = bytes
        if any(name == b'transfer-encoding' for name, _ in head.headers):
            merger = ChunkMerger()
            merger.merge(self._unparsed)
            self._merge = merger.merge
        if data:
            self.http.receive_data(self._merge(data))

    def _await_request(self) -> bytes | None:
        """Return the first bytes of the next request.

        Returns b'' if the connection ends, and None after the idle timeout, which is
        the longest that is in force at the beginning or at the end of the wait, as
        the caller may know either.  A new connection is not idle: its first request
        has the time for a head as well.
        """
        idle_since = time.monotonic()
        limits = self._get_limits()
        first_timeout_s = limits.idle_timeout_s
        if not self._has_read_request:
            first_timeout_s = max(first_timeout_s, limits.header_timeout_s)
        while True:
            timeout_s = max(first_timeout_s, self._get_limits().idle_timeout_s)
            remaining_s = idle_since + timeout_s - time.monotonic()
            data = self._take(max(0.0, remaining_s))
            if data is not None or remaining_s <= 0:
                return data

    def _adopt_limits(self) -> None:
        """Read the next request with the limits in force."""
        limits = self._get_limits()
        if limits == self._limits:
            return
        self._limits = limits
        unread = self._unparsed
        self.http = self._new_parser()
        if unread:
            self.http.receive_data(unread)

    def _has_partial_head(self) -> bool:
        """Return whether a part of a request head has arrived."""
        return bool(self._unparsed)

    @property
    def _unparsed(self) -> bytes:
        """What has arrived behind the last event."""
        unread, _ = self.http.trailing_data
        return unread

    def _read_body(self, head: h11.Request) -> bytes:
        self._bound = self._body_limit(head.method, head.target)
        if not self._bound.max_bytes:
            self.leaves_body = not isinstance(self._next_event(), h11.EndOfMessage)
            return b''
        if self._bound.max_bytes > self._limits.max_body_bytes:
            self._bound = BodyBound(max_bytes=self._limits.max_body_bytes)
        stated = self._check_length(head)
        self._held = held = self._memory.hold(self._inbound.interrupt)
        self._progress_at = time.monotonic()
        self._progress_bytes = 0
        body = bytearray()
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                data = self._receive_body(held, len(body), stated)
                self.http.receive_data(self._merge(data))
                continue
            if isinstance(event, h11.EndOfMessage):
                self._inbound.set_room(MAX_BUFFERED_BYTES)
                held.complete(len(body))
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise BadHttp(status=400, reason='body_cut')
            body += event.data
            if len(body) > self._bound.max_bytes:
                raise BadHttp(status=self._bound.status, reason='body_too_large')

    def _receive_body(
        self, held: HeldMemory, received: int, stated: int | None
    ) -> bytes:
        """Return a piece of a body, once there is memory for it."""
        more = READ_BYTES if stated is None else min(READ_BYTES, stated - received)
        began_at = time.monotonic()
        self._turns.rest()
        more = held.reserve(received, more, stated)
        # The sender could not advance while its bytes were not read.
        self._progress_at += time.monotonic() - began_at
        self._inbound.set_room(max(MAX_BUFFERED_BYTES, more))
        if self.http.they_are_waiting_for_100_continue:
            self._send_continue()
        now = time.monotonic()
        has_advanced = received >= self._progress_bytes + PROGRESS_BYTES
        if has_advanced or not held.is_contended:
            self._progress_at = now
            self._progress_bytes = received
        until = self._progress_at + self._limits.header_timeout_s
        data = self._take(max(0.0, until - now))
        held.check()
        if data is None:
            raise BadHttp(status=408, reason='body_timeout')
        if not data:
            raise CallerLeft
        return data

    def _check_head(self, head: h11.Request) -> None:
        """Check the size of a head that arrived in one piece.

        h11 limits only heads that are incomplete after a read.
        """
        size = len(head.method) + len(head.target)
        size += sum(len(n) + len(v) + HEADER_OVERHEAD_BYTES for n, v in head.headers)
        if size > self._limits.max_header_bytes:
            raise BadHttp(status=431, reason='head_too_large')

    def _check_length(self, head: h11.Request) -> int | None:
        """Return the stated length of a body, None if it states none."""
        length = None
        for name, value in head.headers:
            if name == b'content-length':
                length = int(value)
            if length is not None and length > self._bound.max_bytes:
                raise BadHttp(status=self._bound.status, reason='body_too_large')
        return length

    def _take(self, timeout_s: float) -> bytes | None:
        """Return the bytes that have arrived, as `InboundBytes.take` does."""
        began_at = time.monotonic()
        data = self._inbound.take(timeout_s)
        self._turns.received(len(data or b''), began_at)
        return data

    def _next_event(self) -> object:
        self._turns.take()
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadHttp(status=exc.error_status_hint, reason=str(exc)) from exc
