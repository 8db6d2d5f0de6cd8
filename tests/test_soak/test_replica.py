from __future__ import annotations

import random

import gevent
import gevent.socket as gsocket
import pytest

from tools.free_address import free_address
from tools.soak.history import History
from tools.soak.replica import Replica

REQUEST = b'GET /lookups/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n'


def tcp_pair():
    """Return both ends of a connection."""
    with gsocket.create_server(('127.0.0.1', 0)) as listener:
        caller = gsocket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return accepted, caller


@pytest.fixture
def replica():
    found = Replica(
        place='desk-1',
        address=free_address(),
        history=History(),
        rng=random.Random(1),
    )
    yield found
    found.end()


def test_a_connection_is_served_by_the_lifetime_after_the_one_that_accepted_it(replica):
    replica.start('v1')
    accept = replica._server._handle
    accepted, caller = tcp_pair()
    replica.start('v2')
    gevent.spawn(accept, accepted, ('127.0.0.1', 1))
    with gevent.Timeout(2.0), pytest.raises(ConnectionResetError):
        caller.sendall(REQUEST)
        caller.recv(100)
    caller.close()
