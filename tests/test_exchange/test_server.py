from __future__ import annotations

import time

import gevent
import gevent.event
import pytest

from pistachiopath.errors.exchange import CallerLeft
from pistachiopath.exchange.inbound import InboundBytes
from pistachiopath.exchange.limits import ExchangeLimits
from pistachiopath.exchange.server_connection import LINGER_S

from .sockets import EchoServer, read_all

POST = b'POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello'
POST_AND_CLOSE = POST.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
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


def test_requests_on_one_connection_are_answered_in_order():
    server = EchoServer()
    second = b'GET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    response = server.send_parts(POST + second)
    assert response.count(b'HTTP/1.1 200') == 2
    assert response.index(b'hello') < response.index(b'/second')


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
    server = EchoServer(ExchangeLimits(header_timeout_s=1.0, idle_timeout_s=0.05))
    sock = server.connect()
    gevent.sleep(0.2)
    sock.sendall(POST)
    assert sock.recv(65536).startswith(b'HTTP/1.1 200')
    # Between requests the connection is idle.
    assert sock.recv(65536) == b''


def test_caller_left_is_raised_in_the_handler():
    left = gevent.event.Event()

    def handle(conn, req):
        try:
            gevent.sleep(30)
        except CallerLeft:
            left.set()
            raise

    server = EchoServer(handle=handle)
    sock = server.connect()
    sock.sendall(POST)
    gevent.sleep(0.05)
    sock.close()
    assert left.wait(10)


def test_a_stop_announces_close_and_ends_idle_connections():
    server = EchoServer()
    busy, idle = server.connect(), server.connect()
    busy.sendall(POST)
    assert b'hello' in busy.recv(65536)
    gevent.sleep(0.01)
    server.server.announce_stop()
    busy.sendall(POST)
    assert b'connection: close' in busy.recv(65536).lower()
    assert busy.recv(65536) == b''
    server.server.stop_accepting()
    assert idle.recv(65536) == b''


@pytest.mark.parametrize('error', [ValueError, OSError])
def test_a_handler_error_is_answered_and_ends_no_connection(error):
    # Regression: the connection ended without an answer.
    def handle(conn, req):
        raise error

    server = EchoServer(handle=handle)
    other = server.connect()
    for _ in range(2):
        response = server.send_parts(POST + POST_AND_CLOSE)
        assert response.count(b'HTTP/1.1 500') == 2
    other.sendall(POST)
    assert other.recv(65536).startswith(b'HTTP/1.1 500')


def test_a_handler_error_within_a_response_does_not_look_complete():
    def handle(conn, req):
        conn.begin(200, [], b'first')
        raise ValueError

    response = EchoServer(handle=handle).send_parts(POST)
    assert response.endswith(b'first\r\n')


def test_a_stop_waits_for_requests_in_progress_up_to_its_timeout():
    may_respond = gevent.event.Event()

    def handle(conn, req):
        may_respond.wait()
        conn.respond(200, [], b'late')

    server = EchoServer(handle=handle)
    sock = server.connect()
    sock.sendall(POST)
    gevent.sleep(0.01)
    server.server.stop_accepting()
    server.server.wait_until_idle(0.05)
    assert server.server.connections == 1
    may_respond.set()
    server.server.wait_until_idle(10)
    assert server.server.connections == 0
    assert b'late' in sock.recv(65536)


def test_requests_that_arrived_before_a_close_is_announced_are_answered():
    # Regression: the first response announced the close, and the others were lost.
    server = EchoServer()
    sock = server.connect()
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    server.server.announce_stop()
    sock.sendall(POST + POST.replace(b'/a', b'/b') + POST.replace(b'/a', b'/c'))
    response = read_all(sock)
    assert response.count(b'HTTP/1.1 200') == 3
    assert response.lower().count(b'connection: close') == 1
    assert response.lower().index(b'connection: close') > response.index(b'/b')


def test_a_last_response_is_not_discarded_by_the_input_behind_it():
    # Regression: closing a socket with unread input reset the connection.
    large = b'x' * 300_000

    def handle(conn, req):
        conn.respond(200, [], large)

    server = EchoServer(handle=handle)
    server.server.announce_stop()
    sock = server.connect()
    sock.sendall(POST)
    gevent.sleep(0.05)
    sock.sendall(POST)
    gevent.sleep(0.05)
    assert len(read_all(sock)) > len(large)


def test_unfinished_requests_are_answered_when_a_server_ends():
    # Regression: requests in progress at the end of a stop got no answer.
    server = EchoServer(handle=lambda conn, req: gevent.sleep(30))
    serving, reading, idle = server.connect(), server.connect(), server.connect()
    serving.sendall(POST + POST)
    reading.sendall(POST[:-1])
    gevent.sleep(0.01)
    server.server.stop_accepting()
    assert server.server.end_unfinished(0.1) == 2
    response = read_all(serving)
    assert response.index(b'HTTP/1.1 502') < response.index(b'HTTP/1.1 503')
    assert read_all(reading).startswith(b'HTTP/1.1 503')
    assert read_all(idle) == b''


def test_an_answer_that_has_begun_does_not_look_complete_when_a_server_ends():
    def handle(conn, req):
        conn.begin(200, [], b'first')
        gevent.sleep(30)

    server = EchoServer(handle=handle)
    sock = server.connect()
    sock.sendall(POST)
    gevent.sleep(0.01)
    server.server.stop_accepting()
    assert server.server.end_unfinished(0.1) == 1
    response = read_all(sock)
    assert b'first' in response
    assert not response.endswith(b'0\r\n\r\n')


def test_an_idle_timeout_that_changes_holds_for_open_connections():
    # Regression: the limits were those of the time when the connection was opened.
    limits = [ExchangeLimits(idle_timeout_s=0.1)]
    server = EchoServer(get_limits=lambda: limits[0])
    sock = server.connect()
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    limits[0] = ExchangeLimits(idle_timeout_s=30.0)
    gevent.sleep(0.2)
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    limits[0] = ExchangeLimits(idle_timeout_s=0.1)
    gevent.sleep(0.2)
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
    gevent.sleep(0.05)
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
    gevent.sleep(0.05)
    sock.sendall(POST[-2:])
    block_loop(0.5)
    assert b'hello' in sock.recv(65536)


def test_a_request_that_was_not_read_yet_is_answered_at_a_stop():
    # Regression: only bytes that had been read counted.
    server = EchoServer()
    sock = server.connect()
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    gevent.sleep(0.01)
    sock.sendall(POST)
    server.server.stop_accepting()
    response = read_all(sock)
    assert b'hello' in response
    assert b'connection: close' in response.lower()


def test_a_response_cut_short_is_never_followed_by_another():
    # Regression: a timeout during a write left the connection open for the next.
    size = 8 * 1024 * 1024

    def handle(conn, req):
        if req.target != b'/large':
            conn.respond(200, [], b'next')
            return
        with gevent.Timeout(0.1, False):
            conn.respond(200, [], b'x' * size)

    server = EchoServer(handle=handle)
    sock = server.connect()
    sock.sendall(POST.replace(b'/a?b=c', b'/large') + POST)
    gevent.sleep(0.3)
    assert b'next' not in read_all(sock)


def test_a_cut_response_without_a_length_does_not_look_complete():
    # Regression: the connection ended in the same way as after a whole response.
    def handle(conn, req):
        conn.begin(200, [], b'first')
        gevent.sleep(0.05)
        raise CallerLeft

    sock = EchoServer(handle=handle).connect()
    sock.sendall(b'GET / HTTP/1.0\r\nHost: h\r\n\r\n')
    assert b'first' in sock.recv(65536)
    with pytest.raises(ConnectionResetError):
        sock.recv(65536)


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


def test_a_caller_that_sends_without_end_does_not_keep_its_refused_connection(
    monkeypatch,
):
    server = EchoServer(limits=ExchangeLimits(max_body_bytes=10))

    def endless(self, timeout_s):
        gevent.sleep(0)
        return b'x'

    sock = server.connect()
    sock.sendall(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n')
    assert sock.recv(65536).startswith(b'HTTP/1.1 413')
    monkeypatch.setattr(InboundBytes, 'take', endless)
    sock.sendall(b'x')
    with gevent.Timeout(1.5 * LINGER_S):
        while server.server.connections:
            gevent.sleep(0.05)
