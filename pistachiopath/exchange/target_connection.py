"""Client side of one connection to a target."""

from __future__ import annotations

import collections
import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.socket as gsocket
import h11

from ..errors.exchange import BrokenOff, ConnectFailed, Garbled, NumberTooLarge
from ..transport.network import CONNECT_ERRORS, split_address
from ..util.plain_text import shortened
from ..util.turns import Turns
from .answer import AnswerHead
from .decimal import parse_decimal

if TYPE_CHECKING:
    from collections.abc import Callable

    from .request import Headers

logger = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Larger requests are written by a separate greenlet, because a target may respond
# before it has read the whole request.
MAX_INLINE_WRITE_BYTES = 8 * 1024
# A VM without power or behind a network partition acknowledges nothing.  One that
# stands still acknowledges the first retransmission after it goes on; TCP
# retransmits 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first transmission.
UNACKNOWLEDGED_TIMEOUT_MS = 5000
# Value of `TCP_USER_TIMEOUT` with which the kernel does not end a connection early.
NO_TIMEOUT_MS = 0
DEFAULT_IDLE_TIMEOUT_S = 2.0
IDLE_MARGIN_S = 1.0
MIN_IDLE_TIMEOUT_S = 0.3
MAX_IDLE_TIMEOUT_S = 3600
# Requests whose responses may still be repeated.
MAX_REMEMBERED_IDS = 64
MAX_STATUS = 599
# Interim heads before one response.
MAX_INTERIM_HEADS = 100
# Interval at which arriving bytes are reported.
HEARD_INTERVAL_S = 0.05
# Bodies of late responses before the right one, all together.
MAX_DISCARDED_BYTES = 8 * 1024 * 1024


class TargetConnection:
    """Sends requests one after the other and reads their responses.

    A response with the request id of another request is late: it is read and
    discarded.  One without an id may be late as well, unless it is the first on
    the connection.

    `on_heard` is called with the address, the time of the opening and the present time
    when bytes have arrived and the target has not closed the connection since.
    """

    def __init__(
        self,
        *,
        address: str,
        request_id_header: bytes,
        on_heard: Callable[[str, float, float], None] = lambda *_: None,
    ) -> None:
        self.address = address
        self.opened_at = 0.0
        self._on_heard = on_heard
        self._report_heard_at = 0.0
        self.idle_since = 0.0
        self.idle_until = 0.0
        self._has_stated_timeout = False
        self.requests = 0
        self._id_header = request_id_header
        self._sock: gsocket.socket | None = None
        self._unacknowledged_timeout_ms = NO_TIMEOUT_MS
        self._http = self._new_parser()
        self._sent_events: list = []
        self._request_id = b''
        self._carried_ids: collections.deque[bytes] = collections.deque(
            maxlen=MAX_REMEMBERED_IDS
        )
        self._writer: gevent.Greenlet | None = None
        self._ended = False
        self._reset: OSError | None = None
        self._write_failure: OSError | None = None
        self._is_discarding = False
        self._discarded_bytes = 0
        self._interim_heads = 0
        self._turns = Turns()

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def connect(self, timeout_s: float) -> None:
        """Open the connection; raises `ConnectFailed`."""
        try:
            sock = gsocket.create_connection(split_address(self.address), timeout_s)
        except CONNECT_ERRORS as exc:
            raise ConnectFailed(
                address=self.address, reason=_reason(exc), sent=False
            ) from exc
        sock.settimeout(None)
        sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        self._sock = sock
        self.opened_at = time.monotonic()

    def keep_idle(self, now: float) -> None:
        """Prepare a new connection for its first request later on."""
        self.idle_since = now
        self.idle_until = now + DEFAULT_IDLE_TIMEOUT_S

    def is_reusable(self, now: float) -> bool:
        """Return whether the idle connection can carry another request.

        It can't after `idle_until`, or once the target has closed it or sent
        unsolicited bytes.
        """
        if now >= self.idle_until or self._sock is None:
            return False
        return self.is_quiet()

    def is_quiet(self) -> bool:
        """Return whether no bytes wait to be read, and the target has not closed."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, gsocket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as exc:
            # The kernel tells of a reset once; later reads look like a normal end.
            self._reset = exc
            return False
        finally:
            self._sock.settimeout(None)
        return False

    def is_closed_early(self, now: float) -> bool:
        """Return whether the target closed the connection before the time it stated."""
        if now >= self.idle_until or not self._has_stated_timeout:
            return False
        self._sock.settimeout(0.0)
        try:
            return not self._sock.recv(1, gsocket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self._sock.settimeout(None)

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this id was sent on this connection."""
        return request_id in self._carried_ids

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a request; raises `BrokenOff`.

        A request above `MAX_INLINE_WRITE_BYTES` is written in the background, and
        a failure to write it shows when the response is read.  Its target may read
        it as late as it wants.
        """
        self.requests += 1
        self._discarded_bytes = 0
        self._interim_heads = 0
        self._request_id = _header_value(headers, self._id_header)
        if self._request_id:
            self._carried_ids.append(self._request_id)
        if body or method not in (b'GET', b'HEAD', b'DELETE'):
            headers = [*headers, (b'content-length', b'%d' % len(body))]
        request = h11.Request(method=method, target=target, headers=headers)
        self._sent_events = [request, h11.Data(data=body), h11.EndOfMessage()]
        pieces: list[bytes] = []
        for event in self._sent_events:
            pieces += self._http.send_with_data_passthrough(event) or ()
        if sum(len(piece) for piece in pieces) > MAX_INLINE_WRITE_BYTES:
            # A target that reads late closes its window.  To the kernel that is
            # the same as a target that acknowledges nothing.
            self._set_unacknowledged_timeout(NO_TIMEOUT_MS)
            self._writer = gevent.spawn(self._write, pieces)
            return
        self._set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        try:
            self._sock.sendall(b''.join(pieces))
        except OSError as exc:
            raise self._broken_off(exc) from exc

    def _set_unacknowledged_timeout(self, timeout_ms: int) -> None:
        if timeout_ms != self._unacknowledged_timeout_ms:
            self._sock.setsockopt(
                gsocket.IPPROTO_TCP, gsocket.TCP_USER_TIMEOUT, timeout_ms
            )
            self._unacknowledged_timeout_ms = timeout_ms

    def _write(self, pieces: list[bytes]) -> None:
        """Write a request piece by piece, without a copy of its body."""
        try:
            for piece in pieces:
                self._sock.sendall(piece)
        except OSError as exc:
            # The reading greenlet reports the failure once it has read what arrived
            # before: the kernel tells only one of both of a reset.
            self._write_failure = exc
            self._ended = True

    def read_head(self) -> AnswerHead:
        """Return the head of the response; raises `BrokenOff` or `Garbled`.

        It can be called again after a `gevent.Timeout` has interrupted it.
        """
        if self._is_discarding:
            self._discard_response()
        while True:
            event = self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._count_interim_head()
                continue
            if not isinstance(event, h11.Response):
                raise self._broken_off(None)
            self._check_status(event.status_code)
            head = AnswerHead(status=event.status_code, headers=list(event.headers))
            echoed = _header_value(head.headers, self._id_header)
            if not echoed and self._request_id and self.requests > 1:
                raise self._garbled('no_request_id')
            if not echoed or echoed == self._request_id:
                return head
            self._discard_response()

    def read_part(self) -> bytes:
        """Return the next bytes of the body, b'' after its end.

        Raises `BrokenOff` if the body is incomplete and `Garbled` if it is invalid.
        """
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise self._broken_off(None)

    def finish(self, head: AnswerHead, now: float) -> bool:
        """Prepare for another request; return False if none can follow."""
        writing = self._writer is not None and not self._writer.dead
        if writing or self._ended or self._http.trailing_data[0]:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._writer = None
        # An idle connection holds no request.
        self._sent_events = []
        self.idle_since = now
        self.idle_until = now + _idle_timeout_s(head)
        self._has_stated_timeout = bool(head.header(b'keep-alive'))
        return True

    def close(self) -> None:
        """Close the connection and abandon a request in progress."""
        if self._writer is not None:
            self._writer.kill(block=False)
        if self._sock is not None:
            self._sock.close()

    def _discard_response(self) -> None:
        """Discard the response to another request and expect the right one."""
        self._is_discarding = True
        while part := self.read_part():
            self._discarded_bytes += len(part)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                raise self._garbled('late_answer_size')
        self._is_discarding = False
        trailing = self._http.trailing_data[0]
        self._http = self._new_parser()
        for event in self._sent_events:
            self._http.send(event)
        if trailing:
            self._http.receive_data(trailing)

    def _next_event(self) -> object:
        while True:
            self._turns.take()
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                if self._ended:
                    raise self._broken_off(exc) from exc
                logger.warning(
                    'answer_unreadable',
                    extra={'target': self.address, 'reason': shortened(str(exc))},
                )
                raise self._garbled(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._receive()

    def _receive(self) -> None:
        began_at = time.monotonic()
        if self._reset is not None:
            raise self._broken_off(self._reset) from self._reset
        try:
            data = self._sock.recv(READ_BYTES)
        except OSError as exc:
            raise self._broken_off(exc) from exc
        self._turns.received(len(data), began_at)
        if not data and self._write_failure is not None:
            raise self._broken_off(self._write_failure) from self._write_failure
        if not data:
            self._ended = True
        else:
            self._report_heard(time.monotonic())
        self._http.receive_data(data)

    def _report_heard(self, now: float) -> None:
        """Report that the target runs, unless the bytes are what it left behind."""
        if now >= self._report_heard_at and self.is_quiet():
            self._report_heard_at = now + HEARD_INTERVAL_S
            self._on_heard(self.address, self.opened_at, now)

    def _check_status(self, status: int) -> None:
        """Raise `Garbled` for a status that HTTP does not define."""
        if status > MAX_STATUS:
            logger.warning(
                'answer_status_invalid',
                extra={'target': self.address, 'status': status},
            )
            raise self._garbled('status')

    def _count_interim_head(self) -> None:
        self._interim_heads += 1
        if self._interim_heads > MAX_INTERIM_HEADS:
            raise self._garbled('interim_heads')

    def _garbled(self, reason: str) -> Garbled:
        return Garbled(address=self.address, reason=reason, sent=True)

    def _broken_off(self, exc: Exception | None) -> BrokenOff:
        reason = _reason(exc) if exc else 'closed'
        return BrokenOff(address=self.address, reason=reason, sent=True)


def _idle_timeout_s(head: AnswerHead) -> float:
    """Return how long the idle connection may be reused, in seconds.

    This is the timeout that `Keep-Alive` gives in whole seconds, less a margin, or
    a default if the target gives none.
    """
    for part in head.header(b'keep-alive').split(','):
        name, _, value = part.strip().partition('=')
        if name == 'timeout':
            return _stated_timeout_s(value)
    return DEFAULT_IDLE_TIMEOUT_S


def _stated_timeout_s(text: str) -> float:
    try:
        seconds = parse_decimal(text, MAX_IDLE_TIMEOUT_S)
    except NumberTooLarge:
        return MAX_IDLE_TIMEOUT_S
    if seconds is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(MIN_IDLE_TIMEOUT_S, seconds - IDLE_MARGIN_S)


def _header_value(headers: Headers, name: bytes) -> bytes:
    for key, value in headers:
        if key.lower() == name:
            return bytes(value)
    return b''


def _reason(exc: Exception) -> str:
    return type(exc).__name__
