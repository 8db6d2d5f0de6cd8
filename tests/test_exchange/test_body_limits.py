from __future__ import annotations

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.exchange.limits import BodyBound, ExchangeLimits, no_body
from pistachiopath.exchange.server import HttpServer
from tools.free_address import free_address

HEAD = b'PUT / HTTP/1.1\r\nHost: a\r\n'


def start_server(body_limit, sizes):
    """Start a server that appends the size of each body."""

    def handle(conn, req):
        sizes.append(len(req.body))
        conn.respond(200, [], b'')

    server = HttpServer(
        address=free_address(),
        handle=handle,
        limits=ExchangeLimits,
        name='test',
        body_limit=body_limit,
    )
    server.start()
    return server


def answer(server, data):
    """Return all that a server sends until it closes the connection."""
    host, port = server._address.split(':')
    with gevent.Timeout(5.0), gsocket.create_connection((host, int(port))) as sock:
        sock.sendall(data)
        received = b''
        while part := sock.recv(65536):
            received += part
        return received


@pytest.mark.parametrize(
    'framing', [b'Content-Length: 9\r\n\r\n1', b'Transfer-Encoding: chunked\r\n\r\n']
)
def test_a_request_is_answered_without_its_body_where_none_is_read(framing):
    # Guards against bodies that are waited for, and held, where nothing needs them.
    sizes = []
    server = start_server(no_body, sizes)
    received = answer(server, HEAD + framing)
    assert received.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in received.lower()
    assert sizes == [0]
    server.stop_accepting()


def test_the_next_request_is_read_after_one_without_a_body():
    # Guards against connections that close after each request without a body.
    sizes = []
    server = start_server(no_body, sizes)
    get = b'GET / HTTP/1.1\r\nHost: a\r\n'
    data = get + b'\r\n' + get + b'Content-Length: 0\r\n\r\n'
    received = answer(server, data + get + b'Connection: close\r\n\r\n')
    assert received.count(b'HTTP/1.1 200') == 3
    server.stop_accepting()


@pytest.mark.parametrize(
    'framing',
    [b'Content-Length: 9\r\n\r\n', b'Transfer-Encoding: chunked\r\n\r\n9\r\n'],
)
def test_a_body_above_its_own_bound_is_refused_with_the_status_of_the_bound(framing):
    # Guards against announcements that are read up to the limit for configurations.
    sizes = []
    server = start_server(lambda *_: BodyBound(max_bytes=8, status=400), sizes)
    received = answer(server, HEAD + framing + b'123456789\r\n')
    assert received.startswith(b'HTTP/1.1 400')
    assert not sizes
    server.stop_accepting()
