"""Callers' requests while an entry stops within a short grace period."""

from __future__ import annotations

import copy
import gc
import time

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.relay import planned_stop
from pistachiopath.relay.departure import Departure
from tests.test_directory.records import record
from tests.test_exchange.sockets import (
    MUTE,
    Paused,
    ScriptedTarget,
    connect_unaccepted,
    read_all,
)
from tests.test_platform.test_configuration import VALID

from .parts import answer, chunk, events, stream_head
from .test_entry import Node

GRACE_S = 1.0
LIMIT_S = 10.0
END = b'0\r\n\r\n'


def document():
    """A configuration with patient routes to `plain` and to `model`."""
    changed = copy.deepcopy(VALID)
    stream, pay = changed['routes']
    del stream['traffic_split']
    stream.update(backend='model', timeout_ms=9000, public=True)
    pay.update(timeout_ms=9000, target_latency_ms=100)
    changed['routes'].append(
        {**pay, 'name': 'engine', 'path_prefix': '/engine/', 'backend': 'model'}
    )
    changed['routes'][-1]['target_latency_ms'] = 200
    changed['limits'] = {'idle_timeout_ms': 9000}
    return changed


def post(path, extra=b'', body=b'hi'):
    return (
        b'POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: abc\r\n%s'
        b'Content-Length: 2\r\n\r\n%s' % (path, extra, body)
    )


class Caller:
    """A caller's connection, whose bytes are read in the background."""

    def __init__(self, node, data):
        host, _, port = node.callers.partition(':')
        self.received = b''
        self.ended_at = None
        self._sock = gsocket.create_connection((host, int(port)))
        self._sock.sendall(data)
        gevent.spawn(self._read)

    def send(self, data):
        self._sock.sendall(data)

    def _read(self):
        try:
            while part := self._sock.recv(65536):
                self.received += part
        except OSError as exc:
            self.received += type(exc).__name__.encode()
        self.ended_at = time.monotonic()

    @property
    def statuses(self):
        return [
            int(line.split()[1])
            for line in self.received.split(b'\r\n')
            if line.startswith(b'HTTP/1.1 ')
        ]


@pytest.fixture(autouse=True)
def no_garbage_collection():
    # To collect the large heap of a test worker takes longer than the margins here.
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def node(monkeypatch):
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    return Node(grace_s=GRACE_S)


def plain(target):
    return record(service='plain', address=target.address)


def stop(node, *callers):
    """Stop the entry; check that each caller's connection ended in the grace."""
    with gevent.Timeout(LIMIT_S):
        began_at = time.monotonic()
        node.entry.stop()
        assert time.monotonic() - began_at < GRACE_S
        while any(caller.ended_at is None for caller in callers):
            gevent.sleep(0.01)
    assert all(caller.ended_at - began_at < GRACE_S for caller in callers)


def test_a_sent_request_without_an_answer_gets_502_before_the_grace_ends(node):
    target = ScriptedTarget([MUTE])
    node.receive_news(document(), [plain(target)])
    caller = Caller(node, post(b'/pay'))
    gevent.sleep(0.1)
    assert target.requests
    stop(node, caller)
    assert caller.statuses == [502]
    assert b'abc' in caller.received


def fill_engine(node):
    """Return an engine of one place, the request that has it and one that waits."""
    target = ScriptedTarget([MUTE])
    node.receive_news(document(), [record(address=target.address, slots=1)])
    first = Caller(node, post(b'/engine/x'))
    gevent.sleep(0.5)
    second = Caller(node, post(b'/engine/x'))
    return target, first, second


def test_a_request_that_waits_for_a_place_gets_503_before_the_grace_ends(node):
    target, first, second = fill_engine(node)
    gevent.sleep(0.1)
    stop(node, first, second)
    assert (first.statuses, second.statuses) == ([502], [503])
    assert b'retry-after' in second.received
    assert len(target.requests) == 1


def test_a_request_that_waits_for_a_place_is_refused_once_it_cannot_end(node):
    target, first, second = fill_engine(node)
    gevent.sleep(0.1)
    stop(node, first, second)
    assert second.statuses == [503]
    assert second.ended_at < first.ended_at - 0.1


def test_a_request_that_still_waits_at_the_end_of_the_grace_is_refused(monkeypatch):
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    monkeypatch.setattr(Departure, 'check_unsent', lambda *_: None)
    node = Node(grace_s=GRACE_S)
    target, first, second = fill_engine(node)
    gevent.sleep(0.1)
    stop(node, first, second)
    assert (first.statuses, second.statuses) == ([502], [503])


def test_pipelined_requests_are_all_answered_before_the_grace_ends(node):
    target = ScriptedTarget([MUTE])
    node.receive_news(document(), [plain(target)])
    caller = Caller(node, post(b'/pay') + post(b'/pay') + post(b'/pay'))
    gevent.sleep(0.1)
    stop(node, caller)
    assert caller.statuses == [502, 503, 503]
    assert len(target.requests) == 1


def test_a_request_whose_body_is_incomplete_gets_503_before_the_grace_ends(node):
    node.receive_news(document())
    caller = Caller(node, post(b'/pay', body=b'h'))
    gevent.sleep(0.1)
    stop(node, caller)
    assert caller.statuses == [503]


def test_a_stream_that_outlasts_the_grace_ends_incomplete_after_whole_events(node):
    target = ScriptedTarget([stream_head() + chunk(events(1, 3) + b'id: 4\nda')])
    node.receive_news(document(), [record(address=target.address)])
    caller = Caller(node, post(b'/gen/x'))
    gevent.sleep(0.5)
    stop(node, caller)
    assert caller.statuses == [200]
    assert caller.received.endswith(chunk(events(1, 3)))


def test_an_answer_within_the_grace_is_delivered_whole(node):
    target = ScriptedTarget([answer()])
    node.receive_news(document(), [plain(target)])
    caller = Caller(node, post(b'/pay'))
    stop(node, caller)
    assert caller.statuses == [200]
    assert caller.received.endswith(b'done')


@pytest.mark.parametrize(
    ('path', 'parts', 'end'),
    [
        (b'/pay', [0.3, answer()], b'done'),
        (b'/pay', [answer()[:-2], 0.3, answer()[-2:]], b'done'),
        (
            b'/gen/x',
            [stream_head() + chunk(events(1, 2)), 0.3, chunk(events(3, 3)) + END],
            END,
        ),
    ],
)
def test_an_answer_whose_target_falls_silent_during_the_grace_is_whole(
    node, path, parts, end
):
    target = ScriptedTarget([Paused(*parts)])
    service = 'model' if path == b'/gen/x' else 'plain'
    node.receive_news(document(), [record(service=service, address=target.address)])
    caller = Caller(node, post(path))
    gevent.sleep(0.05)
    stop(node, caller)
    assert caller.statuses == [200]
    assert caller.received.endswith(end)


def test_a_grace_shorter_than_the_rotation_still_answers_what_is_unfinished(
    monkeypatch,
):
    node = Node(grace_s=GRACE_S)
    target = ScriptedTarget([MUTE])
    node.receive_news(document(), [plain(target)])
    caller = Caller(node, post(b'/pay'))
    gevent.sleep(0.1)
    stop(node, caller)
    assert caller.statuses == [502]


def test_a_request_on_a_connection_that_waits_for_its_accept_is_refused(
    node, monkeypatch
):
    # Regression: the kernel reset it when the listening socket was closed.
    node.receive_news(document())
    port = int(node.callers.rpartition(':')[2])
    waiting = []

    def connect_and_close(departure):
        waiting.append(connect_unaccepted(port, post(b'/pay')))
        close(departure)

    close = Departure.close
    monkeypatch.setattr(Departure, 'close', connect_and_close)
    stop(node)
    received = read_all(waiting[0])
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in received
