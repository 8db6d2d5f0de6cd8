"""One exchange with one replica."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

import gevent

from ..errors.exchange import BrokenOff, ConnectFailed, ExchangeFailed, Garbled
from ..exchange.sse import (
    MAX_EVENT_BYTES,
    NO_NUMBER,
    UNUSABLE_NUMBER,
    EventSplitter,
)
from .ended import Delivered, Lost, NotRun, TargetFailed
from .verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..exchange.answer import AnswerHead
    from ..exchange.pool import ConnectionPool
    from ..exchange.server_connection import ServerConnection
    from ..exchange.sse import StreamEvent
    from ..exchange.target_connection import TargetConnection
    from ..lifetimes.continuations import Continuations
    from ..messages.directory import ReplicaRecord
    from .dialect import Dialect
    from .ended import ExchangeResult
    from .hedge import Hedge
    from .hedges import Hedges
    from .notices import Notices
    from .work import Work

Data = TypeVar('Data')

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.3
# A place elsewhere is sought if no data arrives for `STALL_OBJECTIVE_FACTOR` times
# the route's objective and at least `STALL_MIN_S`.
STALL_OBJECTIVE_FACTOR = 2.0
STALL_MIN_S = 1.2
# Time to read what arrived while this process was paused.
PAUSE_CHECK_S = 0.02
# While a place is sought, the silent target is left this soon after it is found.
MOVE_CHECK_INTERVAL_S = 0.02
# A replica that crashes on a request does so when it begins to write the answer.
LIVED_S = 1.0
STALLED = 'stalled'
REFUSED = 'connect_ConnectionRefusedError'
OTHER_REPLICA = 'other_replica'
UNPROVEN_LIFETIME = 'unproven_lifetime'


class ExchangeRun:
    """Sends a request to a replica and delivers its answer to the caller.

    Only whole events of a stream are delivered, in order and once.  An answer
    that is no stream is delivered when it is complete.  A target that falls
    silent keeps the request until `hedges` has found it a place elsewhere.
    """

    def __init__(
        self,
        *,
        conn: ServerConnection,
        work: Work,
        record: ReplicaRecord,
        dialect: Dialect,
        pool: ConnectionPool,
        notices: Notices,
        hedges: Hedges,
        continuations: Continuations,
        on_lived: Callable[[Work, float], None],
        on_begun: Callable[[Work, ReplicaRecord, float], None],
    ) -> None:
        self.first_event_ms = 0
        self._conn = conn
        self._work = work
        self._record = record
        self._dialect = dialect
        self._pool = pool
        self._notices = notices
        self._hedges = hedges
        self._continuations = continuations
        self._on_lived = on_lived
        self._on_begun = on_begun
        self._sent_at = 0.0
        self._first_event_at = 0.0
        self._opened_at = 0.0

    def run(self) -> ExchangeResult:
        """Send the request, and deliver the answer."""
        try:
            target = self._pool.take(
                self._record.address,
                CONNECT_TIMEOUT_S,
                self._work.req.request_id.encode('latin-1'),
            )
        except ConnectFailed as exc:
            return NotRun(reason=f'connect_{exc.reason}', arrived=False)
        self._opened_at = target.opened_at
        is_reusable = False
        try:
            if not self._may_go_on(target):
                return NotRun(reason=UNPROVEN_LIFETIME, arrived=False)
            self._send(target)
            head = self._read_head(target)
            result = self._relay_answer(target, head)
            if not isinstance(result, Lost):
                is_reusable = target.finish(head, time.monotonic())
            return result
        except ExchangeFailed as exc:
            return Lost(
                reason=f'{type(exc).__name__}_{exc.reason}',
                delivered=self._conn.has_begun,
                broken_off=isinstance(exc, BrokenOff) and exc.reason != STALLED,
            )
        finally:
            if is_reusable:
                self._pool.give_back(target)
            else:
                target.close()

    def _may_go_on(self, target: TargetConnection) -> bool:
        if self._work.stream_version is None:
            return True
        return self._continuations.may_go_on(self._work, self._record, target)

    def _send(self, target: TargetConnection) -> None:
        work = self._work
        now = time.monotonic()
        customer = work.admitted.customer
        headers = self._dialect.target_headers(
            work.req,
            replica=self._record.replica,
            customer=customer.name if customer else '',
            remaining_s=work.remaining_s(now),
            last_event=work.last_event,
        )
        work.may_have_run = True
        self._sent_at = work.sent_at = now
        work.has_lived = False
        http = work.req.http
        target.send(http.method, http.target, headers, http.body)

    def _read_head(self, target: TargetConnection) -> AnswerHead:
        head = self._await_data(target.read_head)
        self._notices.record(self._work.req.request_id, self._record, head)
        return head

    def _await_data(self, read: Callable[[], Data]) -> Data:
        """Return what `read` returns when the target has sent data.

        Raises `BrokenOff` once a place elsewhere is reserved for a request whose
        target is silent.
        """
        route = self._work.admitted.route
        stall_s = max(STALL_MIN_S, STALL_OBJECTIVE_FACTOR * route.objective_s)
        for timeout_s in (stall_s, PAUSE_CHECK_S):
            with gevent.Timeout(timeout_s, exception=False):
                return read()
        hedge = self._hedges.begin(self._work, delivered=self._conn.has_begun)
        if hedge is None:
            return read()
        try:
            return self._await_data_or_move(read, hedge)
        finally:
            hedge.close()

    def _await_data_or_move(self, read: Callable[[], Data], hedge: Hedge) -> Data:
        while not hedge.has_found:
            with gevent.Timeout(MOVE_CHECK_INTERVAL_S, exception=False):
                return read()
        self._work.reservation = hedge.take()
        raise BrokenOff(address=self._record.address, reason=STALLED, sent=True)

    def _relay_answer(
        self, target: TargetConnection, head: AnswerHead
    ) -> ExchangeResult:
        verdict = self._dialect.verdict(head)
        if verdict is Verdict.SUCCESS and self._work.admitted.route.is_stream:
            return self._relay_stream(target, head)
        body, is_whole = self._read_body(target)
        if not is_whole and verdict is Verdict.SUCCESS:
            return self._relay_rest(target, head, body)
        if not is_whole:
            raise self._garbled('too_large')
        match verdict:
            case Verdict.NOT_RUN:
                return NotRun(reason=f'target_{head.status}', arrived=True)
            case Verdict.ELSEWHERE:
                return NotRun(reason=OTHER_REPLICA, arrived=True)
            case Verdict.FAILURE:
                return TargetFailed(head=head, body=body)
            case Verdict.UNPROVEN:
                return Lost(reason='unproven', delivered=self._conn.has_begun)
        headers = self._dialect.caller_headers(head)
        self._record_progress()
        self._work.status = head.status
        self._conn.respond(head.status, headers, body)
        return Delivered()

    def _read_body(self, target: TargetConnection) -> tuple[bytes, bool]:
        """Return the body and whether it is whole: it is held up to a limit."""
        body = bytearray()
        while len(body) <= MAX_ANSWER_BYTES:
            part = self._await_data(target.read_part)
            if not part:
                return bytes(body), True
            self._work.held.resize(len(body) + len(part))
            body += part
        return bytes(body), False

    def _relay_rest(
        self, target: TargetConnection, head: AnswerHead, body: bytes
    ) -> ExchangeResult:
        """Deliver an answer that is too long to be held.

        What follows is read as fast as the caller takes it.
        """
        self._record_progress()
        self._work.status = head.status
        self._conn.begin(head.status, self._dialect.caller_headers(head), body)
        self._work.held.resize(0)
        while part := self._await_data(target.read_part):
            self._record_progress()
            self._conn.write(part)
        self._conn.finish()
        return Delivered()

    def _relay_stream(
        self, target: TargetConnection, head: AnswerHead
    ) -> ExchangeResult:
        splitter = EventSplitter()
        has_events = False
        while True:
            part = self._await_data(target.read_part)
            if not part:
                break
            self._work.held.resize(splitter.held_bytes + len(part))
            events = splitter.feed(part)
            if splitter.held_bytes > MAX_EVENT_BYTES:
                raise self._garbled('event_size')
            if events:
                has_events = True
                self._deliver(head, events)
        if not splitter.is_between_events:
            return Lost(reason='cut_in_event', delivered=self._conn.has_begun)
        if not has_events and not head.is_framed:
            # A replica that ended after the head leaves the same bytes.
            return Lost(reason='cut_before_event', delivered=self._conn.has_begun)
        if not self._conn.has_begun:
            self._deliver(head, [])
        self._conn.finish()
        return Delivered()

    def _deliver(self, head: AnswerHead, events: list[StreamEvent]) -> None:
        """Write whole events up to the first with an id out of order or range.

        Raises `Garbled` for that one, behind which another target may resume.
        """
        if events:
            self._check_version()
        valid: list[StreamEvent] = []
        try:
            for event in events:
                self._check_order(event)
                valid.append(event)
        finally:
            if valid or not events:
                self._write_events(head, valid)

    def _write_events(self, head: AnswerHead, events: list[StreamEvent]) -> None:
        if events and self._work.stream_version is None:
            self._on_begun(self._work, self._record, self._opened_at)
        data = b''.join(event.data for event in events)
        self._record_progress()
        if self._conn.has_begun:
            self._conn.write(data)
            return
        self._work.status = head.status
        headers = self._dialect.caller_headers(head)
        self._conn.begin(head.status, headers, data)

    def _check_version(self) -> None:
        """Raise `Garbled` if another version began the stream."""
        if not self._work.may_run_at(self._record):
            raise self._garbled('other_version')

    def _check_order(self, event: StreamEvent) -> None:
        work = self._work
        if event.number == UNUSABLE_NUMBER:
            raise self._garbled('event_id')
        if event.number == NO_NUMBER:
            work.has_unnumbered_events |= event.has_data
            return
        expected = None
        if work.last_event is not None:
            expected = work.last_event + 1
        if expected is not None and event.number != expected:
            raise self._garbled('order')
        work.last_event = event.number

    def _garbled(self, reason: str) -> Garbled:
        return Garbled(address=self._record.address, reason=reason, sent=True)

    def _record_progress(self) -> None:
        now = time.monotonic()
        self._work.last_event_at = now
        if self.first_event_ms:
            self._check_lived(now)
            return
        self._first_event_at = now
        self.first_event_ms = max(1, int((now - self._sent_at) * 1000))
        self._work.first_event_at = self._work.first_event_at or now

    def _check_lived(self, now: float) -> None:
        is_old = now - self._first_event_at >= LIVED_S
        if is_old and not self._work.has_lived:
            self._on_lived(self._work, now)
