from __future__ import annotations

import gevent
import gevent.server
import pytest

from tests.harness.waiting import wait_until
from tools.free_address import free_address
from tools.soak.http_stream import HttpStream
from tools.soak.partition import Partition
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
    wait_until(lambda: not stream.is_open())


def programs(address):
    """Return a partition of two programs, of which `address` belongs to one."""
    return Partition(names={address: 'control-1', '127.1.2.3:4': 'entry-1'})


HELLO = b'\x00\x07127.1.2.3:4\x00'


@pytest.mark.parametrize(
    ('cut_off', 'passes'),
    [
        ({'control-1'}, False),
        ({'entry-1'}, False),
        ({'control-1', 'entry-1'}, True),
        ({'entry-2'}, True),
    ],
)
def test_nothing_passes_between_the_two_sides_of_a_partition(
    proxy, sock, address, cut_off, passes
):
    proxy.partition = programs(address)
    sock.sendall(HELLO)
    assert receives(sock, 5.0) == HELLO
    proxy.partition.begin(cut_off)
    sock.sendall(b'x')
    assert receives(sock, 5.0 if passes else 0.2) == (b'x' if passes else None)
    proxy.partition.end()
    if not passes:
        assert receives(sock, 5.0) == b'x'
