"""One request at a replica."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import gevent

from . import wire
from .arrival import Arrival, Ending
from .fault_kind import FaultKind
from .http_stream import head_bytes
from .request_kind import STREAM_PREFIXES

if TYPE_CHECKING:
    import random

    from .behaviour import Behaviour
    from .http_stream import Head, HttpStream
    from .lifetime import Lifetime

MAX_WAITING = 16
PLAIN_WORK_S = 0.08
FIRST_EVENT_S = 0.08
EVENT_S = 0.05
# The run looks this often whether its connection is still open.
STEP_S = 0.05
DEFAULT_DEADLINE_S = 60.0
# Share of the answers that a replica breaks off or garbles while it does that.
CUT_SHARE = 0.5
GARBLED_SHARE = 0.5


class RunEnded(Exception):
    """The replica does not finish its answer."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending)
        self.ending = ending


class ReplicaRun:
    """Answers a request and keeps its record in `arrival`.

    The answer depends only on the request and the lifetime, so that a check can tell
    what it must be.
    """

    def __init__(
        self,
        *,
        stream: HttpStream,
        lifetime: Lifetime,
        behaviour: Behaviour,
        rng: random.Random,
        head: Head,
        body: bytes,
    ) -> None:
        self._stream = stream
        self._lifetime = lifetime
        self._behaviour = behaviour
        self._rng = rng
        method, path, *_ = head.start.split(' ')
        self.arrival = Arrival(
            request=head.get(wire.REQUEST_ID),
            replica=lifetime.replica,
            place=lifetime.place,
            service=lifetime.service,
            version=lifetime.version,
            at=time.monotonic(),
            born_ms=lifetime.born_ms,
            method=method,
            path=path,
            body=body.decode('latin-1'),
            customer=head.get(wire.CUSTOMER),
            expected=head.get(wire.REPLICA_EXPECTED),
            has_key=bool(head.get(wire.AUTHORIZATION)),
            last_event=_integer(head.get(wire.LAST_EVENT)),
        )
        deadline_ms = _integer(head.get(wire.DEADLINE_MS))
        deadline_s = DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / 1000
        self._ends_at = self.arrival.at + deadline_s

    def answer(self) -> None:
        """Refuse or run the request; raises `RunEnded` or `OSError`."""
        try:
            self._wait_awake()
            refusal = self._refusal()
            if refusal:
                self._refuse(refusal)
            else:
                self._run()
        except RunEnded as exc:
            self._end(exc.ending)
            raise
        except OSError:
            self._end(Ending.CLOSED)
            raise

    def _end(self, ending: Ending) -> None:
        has_crashed = self._lifetime.is_ended
        self.arrival.ending = Ending.BROKE_OFF if has_crashed else ending
        self.arrival.ended_at = time.monotonic()

    def _refusal(self) -> int:
        """Return the status with which the request is turned away, or 0."""
        if self.arrival.expected not in ('', self._lifetime.replica):
            return 421
        is_backing_off = time.monotonic() < self._behaviour.backoff_until
        is_full = self._lifetime.waiting >= MAX_WAITING
        refuses = self._behaviour.has(FaultKind.REPLICA_REFUSES_TWICE)
        return 503 if is_backing_off or is_full or refuses else 0

    def _refuse(self, status: int) -> None:
        headers = [*self._headers(), (wire.NOT_EXECUTED, '1'), ('Content-Length', '0')]
        backoff_s = self._behaviour.backoff_until - time.monotonic()
        if status == 503 and backoff_s > 0:
            self.arrival.backoff_s = round(backoff_s, 2)
            headers.append((wire.RETRY_AFTER, f'{backoff_s:.2f}'))
        data = head_bytes(f'HTTP/1.1 {status} Refused', headers)
        self.arrival.status = status
        self._end(Ending.REFUSED)
        is_twice = self._behaviour.has(FaultKind.REPLICA_REFUSES_TWICE)
        self._stream.write(data * 2 if is_twice else data)

    def _headers(self) -> list[tuple[str, str]]:
        headers = [(wire.REQUEST_ID, self.arrival.request)]
        if self._lifetime.says_leaving:
            self.arrival.says_leaving = True
            headers += [(wire.LEAVING, '1'), ('Connection', 'close')]
        return headers

    def _run(self) -> None:
        lifetime, arrival = self._lifetime, self.arrival
        lifetime.waiting += 1
        try:
            while not lifetime.slots.acquire(timeout=STEP_S):
                self._check_connection()
        finally:
            lifetime.waiting -= 1
        try:
            lifetime.runs += 1
            arrival.ran_at = time.monotonic()
            arrival.signature = f'{lifetime.replica}.{lifetime.runs}'
            arrival.status = 200
            if arrival.path.startswith(STREAM_PREFIXES):
                self._answer_stream()
            else:
                self._answer_plain()
            self._end(Ending.WHOLE)
        finally:
            lifetime.slots.release()

    def _answer_plain(self) -> None:
        self._work(PLAIN_WORK_S)
        if self._behaviour.has(FaultKind.REPLICA_FAILS):
            self._fail()
            return
        self.arrival.text = plain_text(self.arrival)
        body = self.arrival.text.encode()
        headers = [
            *self._headers(),
            (wire.SIGNATURE, self.arrival.signature),
            ('Content-Length', str(len(body))),
        ]
        data = head_bytes('HTTP/1.1 200 OK', headers) + body
        if self._happens(FaultKind.REPLICA_GARBLED, GARBLED_SHARE):
            self._garble(data)
        self._stream.write(data)

    def _fail(self) -> None:
        self.arrival.status = 500
        headers = [*self._headers(), ('Content-Length', '0')]
        self._stream.write(head_bytes('HTTP/1.1 500 Failed', headers))

    def _garble(self, data: bytes) -> None:
        """Write something else than a proven whole response, or bytes after one."""
        signature = f'{wire.SIGNATURE}: {self.arrival.signature}\r\n'.encode()
        unsigned = data.replace(signature, b'')
        # This status alone does not say that the request has not run.
        unproven = unsigned.replace(b'200 OK', b'503 Refused')
        no_response = b'\x00\x01 no response\r\n\r\n' + data
        other = self._rng.choice((data[:-1], no_response, unsigned, unproven, data))
        if other is not data:
            self._stream.write(other)
            raise RunEnded(Ending.BROKE_OFF)
        gevent.spawn_later(0.0, _write_quietly, self._stream, data)

    def _answer_stream(self) -> None:
        self._work(FIRST_EVENT_S)
        arrival = self.arrival
        headers = [
            *self._headers(),
            (wire.SIGNATURE, arrival.signature),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        self._stream.write(head_bytes('HTTP/1.1 200 OK', headers))
        first = (arrival.last_event or 0) + 1
        last = event_count(arrival.path)
        cut_at = 0
        if self._happens(FaultKind.REPLICA_CUTS_STREAMS, CUT_SHARE):
            cut_at = self._rng.randint(first, max(first, last))
        for number in range(first, last + 1):
            event = f'id: {number}\ndata: {arrival.path} {arrival.version}\n\n'
            if number == cut_at:
                self._stream.write_chunk(event[: len(event) // 2].encode())
                raise RunEnded(Ending.BROKE_OFF)
            self._stream.write_chunk(event.encode())
            self._work(EVENT_S)
        self._stream.write_chunk(b'')

    def _happens(self, kind: FaultKind, share: float) -> bool:
        return self._behaviour.has(kind) and self._rng.random() < share

    def _work(self, work_s: float) -> None:
        """Work for a time; raises `RunEnded` when nobody waits for the answer."""
        done_at = time.monotonic() + work_s * self._behaviour.slowness
        while (now := time.monotonic()) < done_at:
            gevent.sleep(min(STEP_S, done_at - now))
            self._wait_awake()
            self._check_connection()
            if time.monotonic() > self._ends_at:
                raise RunEnded(Ending.EXPIRED)

    def _wait_awake(self) -> None:
        if not self._behaviour.awake.is_set():
            self.arrival.was_silent = True
            self._behaviour.awake.wait()

    def _check_connection(self) -> None:
        if self._lifetime.is_ended:
            raise RunEnded(Ending.BROKE_OFF)
        if not self._stream.is_open():
            raise RunEnded(Ending.CLOSED)


def plain_text(arrival: Arrival) -> str:
    """Return the body that a plain request gets from the replica that ran it."""
    return f'{arrival.request} {arrival.path} {arrival.signature} {"x" * 700}.'


def stream_s(path: str) -> float:
    """Return how long an undisturbed replica works on a whole stream."""
    return FIRST_EVENT_S + EVENT_S * event_count(path)


def event_count(path: str) -> int:
    """Return the number of events of a stream, which is the last part of its path."""
    return int(path.rpartition('/')[2])


def _integer(text: str) -> int | None:
    return int(text) if text.isdigit() else None


def _write_quietly(stream: HttpStream, data: bytes) -> None:
    with contextlib.suppress(OSError):
        stream.write(data)
