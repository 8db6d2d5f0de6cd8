from __future__ import annotations

import gevent
import gevent.event
import pytest

from pistachiopath.errors.exchange import CallerLeft
from pistachiopath.exchange.inbound import InboundBytes
from pistachiopath.exchange.limits import ExchangeLimits
from pistachiopath.exchange.server_connection import LINGER_S

from .sample_requests import POST, POST_AND_CLOSE
from .sockets import EchoServer, connect_unaccepted, read_all


def test_requests_on_one_connection_are_answered_in_order():
    server = EchoServer()
    second = b'GET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    response = server.send_parts(POST + second)
    assert response.count(b'HTTP/1.1 200') == 2
    assert response.index(b'hello') < response.index(b'/second')


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


def test_a_request_that_was_not_read_yet_is_answered_at_a_stop():
    # Regression: only bytes that had been read counted.
    server = EchoServer()
    sock = server.connect()
    sock.sendall(POST)
    assert b'hello' in sock.recv(65536)
    gevent.sleep(0.01)
    sock.sendall(POST)
    server.server.stop_accepting()
    with gevent.Timeout(ExchangeLimits().idle_timeout_s / 3):
        response = read_all(sock)
    assert b'hello' in response
    assert b'connection: close' in response.lower()


@pytest.mark.parametrize('number', [1, 300])
def test_connections_that_were_not_accepted_yet_are_answered_at_a_stop(number):
    # Regression: the kernel reset them when the listening socket was closed.
    server = EchoServer()
    callers = [connect_unaccepted(server.port, POST) for _ in range(number)]
    server.server.stop_accepting()
    assert server.server.connections == number
    with gevent.Timeout(ExchangeLimits().idle_timeout_s / 3):
        responses = [read_all(caller) for caller in callers]
    assert all(r.startswith(b'HTTP/1.1 200') for r in responses)
    assert all(b'connection: close' in r.lower() for r in responses)


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
