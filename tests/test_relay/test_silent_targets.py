from __future__ import annotations

import logging
import time

import gevent
import pytest

from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.messages.grants import Ask, Denied, Granted, ReleasePlace
from pistachiopath.relay.dispatcher import MAX_FAILURES
from tests.harness.pauses import PauseMeter
from tests.harness.waiting import wait_until
from tests.test_exchange.sockets import (
    CLOSE,
    MUTE,
    Held,
    Paused,
    ScriptedTarget,
    read_request,
)

from .parts import (
    IDEMPOTENT,
    ONCE,
    RESUMABLE,
    GrantingGate,
    answer,
    chunk,
    events,
    serve,
    stream_head,
)

# Longer than the silence after which a place elsewhere is sought, here 1.2 s.
SILENCE_S = 1.7
OBJECTIVE_S = 0.4
WAIT_S = 6.0
STREAM = events(0, 5)
END = b'0\r\n\r\n'
HEAD, BODY = answer()[:-4], answer()[-4:]
SILENT = {
    'resumable stream, in the middle': (
        RESUMABLE,
        [stream_head() + chunk(events(0, 2)), SILENCE_S, chunk(events(3, 5)) + END],
    ),
    'resumable stream, before the head': (
        RESUMABLE,
        [SILENCE_S, stream_head() + chunk(STREAM) + END],
    ),
    'stream that runs once, in the middle': (
        ONCE,
        [stream_head() + chunk(events(0, 2)), SILENCE_S, chunk(events(3, 5)) + END],
    ),
    'idempotent, before the head': (IDEMPOTENT, [SILENCE_S, answer()]),
    'idempotent, in the body': (IDEMPOTENT, [HEAD, SILENCE_S, BODY]),
    'request that runs once, in the body': (ONCE, [HEAD, SILENCE_S, BODY]),
}


class DenyingGate(GrantingGate):
    """Grants the first place that is asked for, and denies all others."""

    def _send(self, to, call, body):
        self.received.append(body)
        if not isinstance(body, Ask):
            return
        is_first = sum(isinstance(b, Ask) for b in self.received) == 1
        if is_first:
            self.places.handle_reply(to, Granted(request=body.request))
        else:
            denied = Denied(request=body.request, retry_after_ms=200)
            self.places.handle_reply(to, denied)


class FullGate(GrantingGate):
    """Grants the first place that is asked for, and lets all others wait."""

    def _send(self, to, call, body):
        self.received.append(body)
        asks = [b for b in self.received if isinstance(b, Ask)]
        if isinstance(body, Ask) and len(asks) == 1:
            self.places.handle_reply(to, Granted(request=body.request))
        else:
            self.places.handle_load(to)


class AllGranted(GrantingGate):
    """Grants every place, and knows which are held."""

    def _send(self, to, call, body):
        self.received.append(body)
        if isinstance(body, Ask):
            self.places.handle_reply(to, Granted(request=body.request))

    def unreleased(self):
        asked = {b.request for b in self.received if isinstance(b, Ask)}
        return asked - {b.request for b in self.received if isinstance(b, ReleasePlace)}


def serve_slowly(targets, repetition, **options):
    return serve(targets, repetition, wait_s=WAIT_S, objective_s=OBJECTIVE_S, **options)


def no_other_target():
    return [], {}


def no_retry_budget():
    return [ScriptedTarget([answer()])], {'budget': 0.0}


def no_further_target_allowed():
    return [ScriptedTarget([answer()])], {'attempts': 1}


def no_place_elsewhere():
    return [ScriptedTarget([answer()])], {'gate': DenyingGate()}


def a_long_queue_elsewhere():
    return [ScriptedTarget([answer()])], {'gate': FullGate()}


def no_connection_elsewhere():
    other = ScriptedTarget()
    return [other], {}


def a_replica_elsewhere_that_leaves():
    gate = GrantingGate()
    return [ScriptedTarget([answer()])], {'gate': gate, 'leaving': {'r1'}}


def only_an_old_connection_elsewhere():
    other = ScriptedTarget([MUTE])
    pool = ConnectionPool(request_id_header=b'request-id')
    assert not pool.refuses(other.address)
    return [other], {'pool': pool}


NOTHING_BETTER = [
    no_other_target,
    no_retry_budget,
    no_further_target_allowed,
    no_place_elsewhere,
    a_long_queue_elsewhere,
    no_connection_elsewhere,
    only_an_old_connection_elsewhere,
    a_replica_elsewhere_that_leaves,
]


@pytest.mark.parametrize('elsewhere', NOTHING_BETTER)
@pytest.mark.parametrize('case', SILENT)
def test_an_answer_is_whole_if_its_target_falls_silent_and_goes_on(case, elsewhere):
    repetition, parts = SILENT[case]
    is_stream = 'stream' in case
    others, options = elsewhere()
    target = ScriptedTarget([Paused(*parts)])
    caller, work = serve_slowly(
        [target, *others], repetition, stream=is_stream, **options
    )
    assert (caller.status, work.outcome) == (200, 'delivered')
    assert caller.body == (STREAM if is_stream else b'done')
    assert caller.finished
    assert all(other.requests == [] for other in others)


def silent_until(condition):
    """Return a target that is silent until the condition holds."""
    held = Held(answer())

    def release():
        wait_until(condition)
        held.release()

    gevent.spawn(release)
    return ScriptedTarget([held])


@pytest.mark.parametrize('gate_class', [DenyingGate, FullGate])
def test_every_place_that_was_asked_for_beside_a_silent_target_is_released(gate_class):
    gate = gate_class()
    target = silent_until(lambda: sum(isinstance(b, Ask) for b in gate.received) > 1)
    serve_slowly([target, ScriptedTarget()], IDEMPOTENT, gate=gate)
    asked = [b.request for b in gate.received if isinstance(b, Ask)]
    released = [b.request for b in gate.received if isinstance(b, ReleasePlace)]
    assert len(asked) > 1
    assert set(asked) == set(released)


def test_a_silent_target_does_not_hold_up_a_request_that_another_can_serve():
    first, second = ScriptedTarget([MUTE]), ScriptedTarget([answer()])
    with PauseMeter() as pauses:
        started_at = time.monotonic()
        caller, _ = serve_slowly([first, second], IDEMPOTENT)
        assert time.monotonic() - started_at - pauses.total_s < SILENCE_S
    assert (caller.status, caller.body) == (200, b'done')


def test_a_target_that_refused_a_connection_is_tried_again_later():
    second = ScriptedTarget([answer()], listens_after_s=OBJECTIVE_S + 1.6)
    caller, _ = serve_slowly([ScriptedTarget([MUTE]), second], IDEMPOTENT)
    assert (caller.status, caller.body) == (200, b'done')


def test_a_silent_stream_goes_on_at_another_target_that_has_a_place():
    first = ScriptedTarget([Paused(stream_head() + chunk(events(0, 2)), WAIT_S)])
    second = ScriptedTarget([stream_head() + chunk(events(3, 5)) + END])
    gate = GrantingGate()
    caller, work = serve_slowly([first, second], RESUMABLE, stream=True, gate=gate)
    assert caller.body == STREAM
    assert work.outcome == 'delivered'
    assert b'last-event-id: 2' in second.requests[0][0]
    assert gate.received.count(Ask) == gate.received.count(ReleasePlace) == 2


def test_a_request_that_moved_from_a_silent_target_counts_once_for_the_retry_budget():
    targets = [
        ScriptedTarget([MUTE]),
        ScriptedTarget([b'', CLOSE]),
        ScriptedTarget([answer()]),
    ]
    caller, _ = serve_slowly(targets, IDEMPOTENT, attempts=3, budget=2.0)
    assert caller.status == 502
    assert targets[2].requests == []


def test_the_last_try_that_moves_from_a_silent_target_takes_its_place_along():
    unreachable = [ScriptedTarget() for _ in range(MAX_FAILURES - 1)]
    silent, other = ScriptedTarget([MUTE]), ScriptedTarget([answer()])
    gate = AllGranted()
    caller, _ = serve_slowly([*unreachable, silent, other], IDEMPOTENT, gate=gate)
    assert (caller.status, caller.body) == (200, b'done')
    assert gate.unreleased() == set()


def test_a_place_at_a_target_that_accepts_no_connection_is_released():
    gate = AllGranted()
    target = silent_until(lambda: len(gate.received) > 2)
    serve_slowly([target, ScriptedTarget()], IDEMPOTENT, gate=gate)
    assert len(gate.received) > 2
    # The search may end after the answer.
    wait_until(lambda: not gate.unreleased())


def test_a_target_is_not_taken_for_silent_because_this_process_was_paused(caplog):
    caplog.set_level(logging.INFO)
    target = ScriptedTarget([Paused(0.2, answer())])
    gevent.spawn_later(0.1, time.sleep, SILENCE_S)
    caller, _ = serve_slowly([target], IDEMPOTENT)
    assert (caller.status, caller.body) == (200, b'done')
    assert 'answer_stalled' not in caplog.messages


CHUNKED_HEAD = stream_head()
PLAIN_PHASES = {
    'in the head': [answer()[:30], SILENCE_S, answer()[30:]],
    'before the last byte': [answer()[:-1], SILENCE_S, answer()[-1:]],
    'before the end': [CHUNKED_HEAD + chunk(b'done'), SILENCE_S, END],
    'in the trailers': [
        CHUNKED_HEAD + chunk(b'done') + b'0\r\nX: 1\r\n',
        SILENCE_S,
        b'\r\n',
    ],
    'twice': [answer()[:-3], SILENCE_S, answer()[-3:-1], SILENCE_S, answer()[-1:]],
}
STREAM_PHASES = {
    'in the head': [
        CHUNKED_HEAD[:40],
        SILENCE_S,
        CHUNKED_HEAD[40:] + chunk(STREAM) + END,
    ],
    'after the head': [CHUNKED_HEAD, SILENCE_S, chunk(STREAM) + END],
    'in an event': [
        CHUNKED_HEAD + chunk(STREAM[:-9]),
        SILENCE_S,
        chunk(STREAM[-9:]) + END,
    ],
    'in a chunk': [
        CHUNKED_HEAD + chunk(STREAM)[:30],
        SILENCE_S,
        chunk(STREAM)[30:] + END,
    ],
    'before the end': [CHUNKED_HEAD + chunk(STREAM), SILENCE_S, END],
    'in the trailers': [
        CHUNKED_HEAD + chunk(STREAM) + b'0\r\nX: 1\r\n',
        SILENCE_S,
        b'\r\n',
    ],
    'twice': [
        CHUNKED_HEAD + chunk(events(0, 2)),
        SILENCE_S,
        chunk(events(3, 4)),
        SILENCE_S,
        chunk(events(5, 5)) + END,
    ],
}
PHASES = [
    (repetition, is_stream, phase)
    for is_stream, phases in ((False, PLAIN_PHASES), (True, STREAM_PHASES))
    for repetition in (IDEMPOTENT, ONCE, RESUMABLE)
    for phase in phases
    if is_stream or repetition is not RESUMABLE
]


class ResumingTarget(ScriptedTarget):
    """Target that answers each request whole, a stream from the event asked for."""

    def __init__(self, *, is_stream):
        self._is_stream = is_stream
        super().__init__(*[None] * 4, listens_after_s=0.01)

    def _serve(self, sock, _script):
        request = read_request(sock)
        if request is None:
            return
        self.requests.append(request)
        if not self._is_stream:
            sock.sendall(answer())
            return
        _, _, last = request[0].lower().partition(b'last-event-id: ')
        left = events(int(last.split(b'\r\n')[0]) + 1 if last else 0, 5)
        sock.sendall(CHUNKED_HEAD + (chunk(left) if left else b'') + END)


@pytest.mark.parametrize('has_other', [False, True])
def test_an_answer_is_whole_whenever_its_target_falls_silent(has_other):
    def run(repetition, is_stream, phase):
        parts = (STREAM_PHASES if is_stream else PLAIN_PHASES)[phase]
        targets = [ScriptedTarget([Paused(*parts)])]
        if has_other:
            targets.append(ResumingTarget(is_stream=is_stream))
        caller, _ = serve_slowly(targets, repetition, stream=is_stream)
        return caller.status, caller.body, caller.finished

    runs = {case: gevent.spawn(run, *case) for case in PHASES}
    for case, result in runs.items():
        body = STREAM if case[1] else b'done'
        assert result.get(timeout=4 * WAIT_S) == (200, body, True), case
