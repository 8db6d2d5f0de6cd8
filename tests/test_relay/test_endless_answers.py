"""Targets that write without end, as fast as they can (review, case 2)."""

from __future__ import annotations

import time

import gevent
import pytest

from pistachiopath.relay import exchange_run
from tests.harness.endless_target import EndlessTarget

from .parts import IDEMPOTENT, ONCE, RESUMABLE, SIGNED, serve

ANSWER_S = 1.0
# Bounds of the target: a request ends within the slack of its route's time, and no
# other waits for longer than a frame of its answer takes.
END_SLACK_S = 0.5
MAX_GAP_S = 0.25

CHUNKED = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
LATE = CHUNKED.replace(b'Request-Id: abc', b'Request-Id: other')
BARE = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n'
SHAPES = {
    'interim heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'short chunks': (CHUNKED, b'8\r\nnonsense\r\n'),
    'body of another answer': (LATE, b'8\r\nnonsense\r\n'),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n',
    ),
    'bare bytes': (BARE, b'nonsense' * 100),
    'header fields': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
    'events without a number': (CHUNKED, b'9\r\ndata: x\n\n\r\n'),
    'comments': (CHUNKED, b'3\r\n:\n\n\r\n'),
    'lines of one event': (CHUNKED, b'8\r\ndata: x\n\r\n'),
    'chunk extensions': (CHUNKED, b'8;' + b'x' * 50 + b'\r\nnonsense\r\n'),
}


class Gaps:
    """The longest time for which another greenlet had to wait."""

    def __init__(self):
        self.longest_s = 0.0
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while True:
            began_at = time.monotonic()
            gevent.sleep(0.01)
            self.longest_s = max(self.longest_s, time.monotonic() - began_at - 0.01)

    def stop(self):
        self._greenlet.kill()
        return self.longest_s


@pytest.mark.parametrize('stream', [False, True])
@pytest.mark.parametrize('shape', SHAPES.values(), ids=SHAPES)
def test_an_answer_without_end_keeps_nobody_waiting(shape, stream):
    # Regression: one such answer stopped the whole entry, and was never ended.
    target = EndlessTarget(*shape)
    gaps = Gaps()
    began_at = time.monotonic()
    caller, work = serve(
        [target], RESUMABLE if stream else ONCE, stream=stream, wait_s=ANSWER_S
    )
    took_s = time.monotonic() - began_at
    assert took_s < ANSWER_S + END_SLACK_S
    assert gaps.stop() < MAX_GAP_S
    assert caller.status in (200, 502, 504)
    assert not caller.finished or caller.status != 200
    assert target.has_closed(2.0), 'the target was not told'
    target.close()


def test_many_answers_without_end_leave_time_for_others():
    # All of them together get a part of the processor, however many they are.
    target = EndlessTarget(*SHAPES['short chunks'])
    gaps = Gaps()
    greenlets = [
        gevent.spawn(serve, [target], IDEMPOTENT, stream=True, wait_s=ANSWER_S)
        for _ in range(10)
    ]
    turns = 0
    until = time.monotonic() + ANSWER_S
    while time.monotonic() < until:
        gevent.sleep(0.001)
        turns += 1
    gevent.joinall(greenlets, timeout=5.0)
    assert all(greenlet.successful() for greenlet in greenlets)
    assert turns > 100
    assert gaps.stop() < MAX_GAP_S
    target.close()


def test_an_answer_that_is_longer_than_what_is_held_arrives(monkeypatch):
    # A long answer waits for its caller; it was cut off at the limit before.
    monkeypatch.setattr(exchange_run, 'MAX_ANSWER_BYTES', 100_000)
    target = EndlessTarget(CHUNKED, b'8\r\nnonsense\r\n', b'0\r\n\r\n', blocks=4)
    caller, work = serve([target], ONCE)
    assert caller.finished
    assert caller.status == 200
    assert caller.body == b'nonsense' * target.pieces
    target.close()
