"""Requests to an engine whose answers are whole or known to be cut."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from ..errors.exchange import BrokenOff
from ..exchange.pool import ConnectionPool
from ..exchange.sse import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..exchange.answer import AnswerHead
    from ..exchange.request import Headers
    from ..exchange.target_connection import TargetConnection

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0
EVENT_STREAM = 'text/event-stream'


class EngineAnswer:
    """An answer of an engine, of which the head has been read."""

    def __init__(
        self, *, conn: TargetConnection, head: AnswerHead, pool: ConnectionPool
    ) -> None:
        self.status = head.status
        self.content_type = head.header(b'content-type')
        self._conn = conn
        self._head = head
        self._pool = pool

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return self._head.header(name)

    def parts(self) -> Iterator[bytes]:
        """Yield the body; raises `ExchangeFailed` if it is not complete.

        A stream that ends within an event is not complete.
        """
        splitter = EventSplitter() if EVENT_STREAM in self.content_type else None
        is_reusable = False
        try:
            while part := self._read_part():
                if splitter is not None:
                    splitter.feed(part)
                yield part
            if splitter is not None and not splitter.is_between_events:
                raise BrokenOff(
                    address=self._conn.address, reason='cut_in_event', sent=True
                )
            is_reusable = self._conn.finish(self._head, time.monotonic())
        finally:
            if is_reusable:
                self._pool.give_back(self._conn)
            else:
                self._conn.close()

    def discard(self) -> None:
        """Close the connection without reading the body."""
        self._conn.close()

    def _read_part(self) -> bytes:
        with _read_timeout(self._conn):
            return self._conn.read_part()


class EngineRequests:
    """Sends requests to one engine over kept connections."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(request_id_header=b'')

    def send(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> EngineAnswer:
        """Send a request and read the head of its answer.

        Raises `ConnectFailed` if nothing was sent, or another `ExchangeFailed`.
        """
        conn = self._pool.take(self._address, CONNECT_TIMEOUT_S)
        has_head = False
        try:
            host = (b'host', self._address.encode())
            conn.send(method.encode(), path.encode(), [host, *headers], body)
            with _read_timeout(conn):
                head = conn.read_head()
            has_head = True
        finally:
            if not has_head:
                conn.close()
        return EngineAnswer(conn=conn, head=head, pool=self._pool)


def _read_timeout(conn: TargetConnection) -> gevent.Timeout:
    silent = BrokenOff(address=conn.address, reason='read_timeout', sent=True)
    return gevent.Timeout(READ_TIMEOUT_S, silent)
