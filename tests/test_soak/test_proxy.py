from __future__ import annotations

import gevent
import gevent.server
import pytest

from tools.free_address import free_address
from tools.soak.http_stream import HttpStream
from tools.soak.proxy import Proxy
from tools.soak.topology import split_address


def echo(sock, _address):
    while data := sock.recv(1000):
        sock.sendall(data)


@pytest.fixture
def address():
    return free_address()


@pytest.fixture
def proxy(address):
    target = free_address()
    server = gevent.server.StreamServer(split_address(target), echo)
    server.start()
    proxy = Proxy(address=address, target=target)
    proxy.start()
    yield proxy
    proxy.stop()
    server.stop()


@pytest.fixture
def sock(proxy, address):
    stream = HttpStream.connect(address, 5.0)
    yield stream.sock
    stream.close()


def receives(sock, timeout_s):
    with gevent.Timeout(timeout_s, False):
        return sock.recv(1000)
    return None


def test_forwards_in_both_directions(sock):
    sock.sendall(b'x')
    assert receives(sock, 5.0) == b'x'


@pytest.mark.parametrize('directions', [('in',), ('out',), ('in', 'out')])
def test_held_bytes_arrive_after_the_release(proxy, sock, directions):
    proxy.hold(*directions)
    sock.sendall(b'x')
    assert receives(sock, 0.2) is None
    proxy.release()
    assert receives(sock, 5.0) == b'x'


def test_a_reset_ends_connections_but_not_the_proxy(proxy, address, sock):
    sock.sendall(b'x')
    assert receives(sock, 5.0) == b'x'
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        receives(sock, 5.0)
    other = HttpStream.connect(address, 5.0)
    other.sock.sendall(b'y')
    assert receives(other.sock, 5.0) == b'y'


def test_the_end_of_a_connection_is_passed_on(proxy, address):
    stream = HttpStream.connect(address, 5.0)
    assert stream.is_open()
    proxy.stop()
    gevent.sleep(0.05)
    assert not stream.is_open()
