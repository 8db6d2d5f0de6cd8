from __future__ import annotations

import time

import gevent
import h11
import pytest

from pistachiopath.exchange.limits import ExchangeLimits
from tests.harness.waiting import let_pass

from .sample_requests import POST, POST_AND_CLOSE
from .sockets import EchoServer

CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
    b'3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
)


@pytest.mark.parametrize('request_bytes', [POST_AND_CLOSE, CHUNKED])
def test_a_request_split_at_any_byte_is_parsed_alike(request_bytes):
    server = EchoServer()
    for cut in range(1, len(request_bytes)):
        response = server.send_parts(request_bytes[:cut], request_bytes[cut:])
        assert response.startswith(b'HTTP/1.1 200')
        assert response.endswith(b'hello')
    assert {r.body for r in server.requests} == {b'hello'}


@pytest.mark.parametrize(
    ('bad', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            b'400',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'400',
        ),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'y' * 3000 + b'\r\n\r\n', b'431'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n', b'413'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'80\r\n' + b'x' * 128 + b'\r\n0\r\n\r\n',
            b'413',
        ),
    ],
)
def test_an_invalid_request_gets_its_status_and_is_not_handled(bad, status):
    limits = ExchangeLimits(max_header_bytes=1024, max_body_bytes=100)
    server = EchoServer(limits)
    response = server.send_parts(bad)
    assert response.startswith(b'HTTP/1.1 ' + status)
    assert server.requests == []


def test_a_request_smuggled_in_a_body_is_not_handled():
    server = EchoServer()
    inner = b'GET /inner HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    outer = (
        b'POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n' % (len(inner) + 5)
    )
    server.send_parts(outer + b'0\r\n\r\n' + inner)
    # The chunked body is empty, so the bytes after it are a separate request.
    assert [r.target for r in server.requests] in ([b'/outer'], [b'/outer', b'/inner'])
    assert server.requests[0].body == b''


def test_header_and_idle_timeouts_differ():
    limits = ExchangeLimits(header_timeout_s=0.05, idle_timeout_s=0.05)
    server = EchoServer(limits)
    sock = server.connect()
    sock.sendall(b'GET / HT')
    assert sock.recv(65536).startswith(b'HTTP/1.1 408')
    idle = server.connect()
    assert idle.recv(65536) == b''


def test_the_first_request_of_a_connection_may_come_later_than_the_idle_timeout():
    server = EchoServer(ExchangeLimits(header_timeout_s=30.0, idle_timeout_s=0.05))
    sock = server.connect()
    let_pass(0.2)
    sock.sendall(POST)
    assert sock.recv(65536).startswith(b'HTTP/1.1 200')
    # Between requests the connection is idle.
    assert sock.recv(65536) == b''


def test_an_idle_timeout_that_changes_holds_for_open_connections():
    # Regression: the limits were those of the time when the connection was opened.
    limits = [ExchangeLimits(idle_timeout_s=0.1)]
    server = EchoServer(get_limits=lambda: limits[0])
    sock = server.connect()
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    limits[0] = ExchangeLimits(idle_timeout_s=30.0)
    let_pass(0.2)
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    limits[0] = ExchangeLimits(idle_timeout_s=0.1)
    let_pass(0.2)
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    assert sock.recv(65536) == b''


@pytest.mark.parametrize('smaller_first', [True, False])
def test_changed_sizes_hold_for_open_connections(smaller_first):
    small = ExchangeLimits(max_header_bytes=200, max_body_bytes=4)
    large = ExchangeLimits()
    before, after = (small, large) if smaller_first else (large, small)
    limits = [before]
    server = EchoServer(get_limits=lambda: limits[0])
    sock = server.connect()
    sock.sendall(b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n')
    assert b'/first' in sock.recv(65536)
    limits[0] = after
    long_head = POST.replace(b'Host: h', b'Host: h\r\nX: ' + b'y' * 500)
    sock.sendall(long_head[:400])
    let_pass(0.05)
    if not smaller_first:
        assert sock.recv(65536).startswith(b'HTTP/1.1 431')
        return
    sock.sendall(long_head[400:])
    assert b'hello' in sock.recv(65536)


def block_loop(duration_s):
    """Keep the event loop busy, as if the process had been paused."""
    time.sleep(duration_s)


def test_a_request_that_arrives_during_a_pause_is_answered_after_it():
    # Regression: the idle timeout was due together with the bytes and won.
    limits = ExchangeLimits(idle_timeout_s=0.3)
    server = EchoServer(limits)
    callers = [server.connect() for _ in range(20)]
    for sock in callers:
        sock.sendall(POST)
        assert b'hello' in sock.recv(65536)
    for sock in callers:
        sock.sendall(POST)
    block_loop(0.5)
    for sock in callers:
        assert b'hello' in sock.recv(65536)


def test_a_body_that_arrives_during_a_pause_is_read_after_it():
    limits = ExchangeLimits(header_timeout_s=0.3)
    server = EchoServer(limits)
    sock = server.connect()
    sock.sendall(POST[:-2])
    # Not `let_pass`: after a pause the rest must be sent before timers are handled.
    gevent.sleep(0.05)
    sock.sendall(POST[-2:])
    block_loop(0.5)
    assert b'hello' in sock.recv(65536)


@pytest.mark.parametrize('waits', [True, False])
def test_a_caller_that_expects_100_gets_its_answer(waits):
    head, body = POST[:-5], POST[-5:]
    head = head.replace(b'Host: h', b'Host: h\r\nExpect: 100-continue')
    sock = EchoServer().connect()
    sock.sendall(head if waits else head + body)
    if waits:
        assert sock.recv(65536).startswith(b'HTTP/1.1 100')
        sock.sendall(body)
    assert b'hello' in sock.recv(65536)


def test_each_chunk_of_a_byte_costs_a_step_of_the_parser(monkeypatch):
    # Regression (review/9): bodies in such chunks kept an entry from all else.
    steps = []
    next_event = h11.Connection.next_event
    monkeypatch.setattr(
        h11.Connection, 'next_event', lambda self: steps.append(1) or next_event(self)
    )
    server = EchoServer()
    body = b'1\r\ny\r\n' * 20_000
    head, _, _ = CHUNKED.partition(b'3\r\n')
    response = server.send_parts(head, body, b'0\r\n\r\n')
    assert response.endswith(b'y' * 20_000)
    assert len(steps) < 200
