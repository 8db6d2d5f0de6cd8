"""Streams over runs that are split, cut, silent and resumed in random ways."""

from __future__ import annotations

import contextlib
import random

import attrs
import gevent
import pytest
from gevent.server import StreamServer

from pistachiopath.relay import exchange_run
from tests.test_exchange.sockets import close_socket, read_request

from .parts import ONCE, RESUMABLE, SIGNED, chunk, serve

STALL_S = 0.02
SILENCE_S = 0.08
OBJECTIVE_S = 0.005
MAX_EVENTS = 8
MAX_FAULTY_RUNS = 3
SEEDS = 4
STREAMS = 40
WAIT_S = 20.0


@attrs.define(kw_only=True, frozen=True)
class Run:
    """How one replica writes what it is asked for.

    `shift` moves the first event of a run that goes on.  The event at `odd_at`, if it
    is not the last, is left out or written `odd_times`.  `kept` is the share
    of the bytes, in a hundred, that are written before `ending`: `whole`, `closed` or
    `reset`, which may be after a whole event only.  `sizes` are those of chunks and
    writes, and `silent_at` is the write before which it falls silent.
    """

    framing: str = 'chunked'
    shift: int = 0
    odd_at: int = 0
    odd_times: int = 1
    ending: str = 'whole'
    kept: int = 100
    ends_after_event: bool = False
    sizes: tuple[int, ...] = ()
    silent_at: int = -1


def faulty_run(rng):
    return Run(
        framing=rng.choice(['chunked', 'length', 'none']),
        shift=rng.choice([-2, -1, 0, 0, 1, 2]),
        odd_at=rng.randint(1, MAX_EVENTS),
        odd_times=rng.choice([0, 1, 1, 2]),
        ending=rng.choice(['whole', 'closed', 'closed', 'reset']),
        kept=rng.randrange(100),
        ends_after_event=rng.random() < 0.3,
        sizes=tuple(rng.randint(1, 60) for _ in range(rng.randrange(9))),
        silent_at=rng.choice([-1, -1, 0, 1, 2, 4]),
    )


class RunningTarget:
    """Replica that writes the rest of a stream as its `Run` says."""

    def __init__(self, name, run, last):
        self._name = name
        self._run = run
        self._last = last
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _address):
        request = read_request(sock)
        if request is None:
            return
        with contextlib.suppress(OSError):
            self._write(sock, answer_bytes(self._run, self._made(request[0])))
            self._end(sock)

    def _end(self, sock):
        if self._run.ending == 'reset':
            close_socket(sock, reset=True)
        elif self._run.ending == 'whole' and self._run.framing != 'none':
            sock.recv(1)

    def _made(self, head):
        """Return the events that the run makes for a request."""
        _, _, told = head.lower().partition(b'last-event-id: ')
        first = 0
        if told:
            asked = int(told.split(b'\r\n')[0]) + 1
            # One that makes none of the events that are left would look complete.
            latest = max(asked, self._last)
            first = max(0, min(asked + self._run.shift, latest))
        made = [event(self._name, n) for n in range(first, self._last + 1)]
        at = self._run.odd_at
        if at < len(made) - 1:
            made[at : at + 1] = [made[at]] * self._run.odd_times
        return made

    def _write(self, sock, data):
        run = self._run
        for number, part in enumerate(split(data, run.sizes)):
            if number == run.silent_at:
                gevent.sleep(SILENCE_S)
            sock.sendall(part)
            gevent.sleep(0)


def event(name, number):
    return f'id: {number}\ndata: {name} {"w" * (number * 7 % 20)}\n\n'.encode()


def answer_bytes(run, made):
    """Return what a run writes before its ending."""
    body = b''.join(made)
    framing = {
        'chunked': b'Transfer-Encoding: chunked\r\n',
        'length': b'Content-Length: %d\r\n' % len(body),
        'none': b'',
    }
    head = b'HTTP/1.1 200 OK\r\n' + SIGNED + framing[run.framing] + b'\r\n'
    if run.ending != 'whole':
        body = cut_body(run, body)
    if run.framing == 'chunked':
        body = b''.join(chunk(part) for part in split(body, run.sizes))
        if run.ending == 'whole':
            body += b'0\r\n\r\n'
    return head + body


def cut_body(run, body):
    """Return the part of a body that is written, which can't be taken for the whole."""
    kept = body[: len(body) * run.kept // 100]
    is_told_by_end = run.framing == 'none' and run.ending == 'closed'
    if run.ends_after_event and not is_told_by_end:
        return kept[: kept.rfind(b'\n\n') + 2]
    # Without a length, an end between two events is the end of the stream.
    return (kept.removesuffix(b'\n') or body[:1]) if is_told_by_end else kept


def split(data, sizes):
    """Return the parts of some bytes; the last one is what is left."""
    parts = []
    for size in [*sizes, len(data)]:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in parts if part]


def relay(last, runs, repetition):
    """Relay one stream of events up to `last`; return what its caller got."""
    targets = [RunningTarget(f'r{n}', run, last) for n, run in enumerate(runs)]
    caller, _ = serve(
        targets, repetition, stream=True, objective_s=OBJECTIVE_S, attempts=9
    )
    for target in targets:
        target.close()
    return caller


def writers(body, names):
    """Return which replica wrote each event; only whole ones, in order, are read."""
    found = []
    while body:
        made = ((name, event(name, len(found))) for name in names)
        name, data = next((m for m in made if body.startswith(m[1])), ('', b''))
        assert data, f'event {len(found)} is not next: {body[:60]!r}'
        found.append(name)
        body = body[len(data) :]
    return found


@pytest.fixture
def short_silences(monkeypatch):
    monkeypatch.setattr(exchange_run, 'STALL_MIN_S', STALL_S)
    monkeypatch.setattr(exchange_run, 'PAUSE_CHECK_S', STALL_S / 2)
    monkeypatch.setattr(exchange_run, 'MOVE_CHECK_INTERVAL_S', STALL_S / 4)


@pytest.mark.usefixtures('short_silences')
@pytest.mark.parametrize('repetition', [RESUMABLE, ONCE])
@pytest.mark.parametrize('has_sound_target', [True, False])
@pytest.mark.parametrize('seed', range(SEEDS))
def test_no_event_is_missing_or_repeated_whatever_its_replicas_do(
    seed, has_sound_target, repetition
):
    rng = random.Random(seed)
    relayed = []
    for _ in range(STREAMS):
        last = rng.randint(2, MAX_EVENTS)
        runs = [faulty_run(rng) for _ in range(rng.randint(1, MAX_FAULTY_RUNS))]
        runs += [Run()] * has_sound_target
        relayed.append((last, runs, gevent.spawn(relay, last, runs, repetition)))
    for last, runs, served in relayed:
        caller = served.get(timeout=WAIT_S)
        found = []
        if caller.status == 200:
            found = writers(caller.body, [f'r{n}' for n in range(len(runs))])
            assert not caller.finished or len(found) == last + 1, runs
        if repetition is ONCE:
            assert len(set(found)) <= 1, runs
        elif has_sound_target:
            assert caller.finished, runs
            assert len(found) == last + 1, runs
