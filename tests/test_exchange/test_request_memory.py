from __future__ import annotations

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.exchange.inbound import READ_BYTES
from pistachiopath.exchange.limits import ExchangeLimits
from pistachiopath.exchange.request_memory import RequestMemory
from pistachiopath.exchange.server import HttpServer
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.waiting import wait_until
from tools.free_address import free_address

KIB = 1024
MAX_BODY = 256 * KIB
MAX = 512 * KIB
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'


class Served:
    """A server with little memory for requests."""

    def __init__(self, max_bytes=MAX, **limits):
        self.sizes = []
        self.hold = gevent.event.Event()
        self.hold.set()
        self.memory = RequestMemory(max_bytes=max_bytes)
        self.address = free_address()
        self.server = HttpServer(
            address=self.address,
            handle=self._handle,
            limits=lambda: ExchangeLimits(max_body_bytes=MAX_BODY, **limits),
            name='test',
            memory=self.memory,
        )
        self.server.start()

    def _handle(self, conn, req):
        self.hold.wait()
        self.sizes.append(len(req.body))
        conn.respond(200, [], b'')

    def send(self, data):
        host, port = self.address.split(':')
        sock = gsocket.create_connection((host, int(port)), 5.0)
        sock.settimeout(5.0)
        sock.sendall(data)
        return sock

    @property
    def held(self):
        return self.memory.budget.held_bytes


@pytest.fixture
def served():
    running = Served()
    yield running
    running.server.stop_accepting()


def sized(size, missing=0):
    return HEAD + b'Content-Length: %d\r\n\r\n' % size + b' ' * (size - missing)


def chunked(size, chunk_bytes):
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b' ' * chunk_bytes)
    head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    return head + chunk * (size // chunk_bytes) + b'0\r\n\r\n'


@pytest.mark.parametrize('data', [sized(MAX_BODY), chunked(MAX_BODY, 16 * KIB)])
@pytest.mark.parametrize('max_bytes', [MAX, 64 * KIB])
def test_the_largest_request_is_served_in_calm(data, max_bytes):
    # Guards against a budget that refuses what the limits allow, however small it is.
    served = Served(max_bytes=max_bytes)
    for _ in range(3):
        sock = served.send(data)
        assert sock.recv(4096).startswith(b'HTTP/1.1 200')
        sock.close()
    assert served.sizes == [MAX_BODY] * 3
    wait_until(lambda: served.held == 0)
    served.server.stop_accepting()


def test_stalled_requests_do_not_shut_out_small_ones(served):
    # Guards against callers that are refused because of others' large requests.
    stalled = [served.send(sized(MAX_BODY, missing=1)) for _ in range(6)]
    wait_until(lambda: served.memory.waiting >= 4)
    assert served.held <= MAX
    sock = served.send(sized(2 * KIB))
    assert sock.recv(4096).startswith(b'HTTP/1.1 200')
    for other in (*stalled, sock):
        other.close()


def test_a_request_without_room_waits_and_is_then_refused_as_not_run(served):
    # Guards against a request that is neither read nor answered.
    served.hold.clear()
    first = served.send(sized(MAX_BODY))
    wait_until(lambda: served.held >= MAX_BODY)
    second = served.send(sized(MAX_BODY))
    received = second.recv(4096)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after: 1' in received.lower()
    served.hold.set()
    assert first.recv(4096).startswith(b'HTTP/1.1 200')
    assert served.sizes == [MAX_BODY]
    metrics = Metrics()
    served.memory.report(metrics)
    assert 'request_memory_refused_total 1' in metrics.render()


def test_a_request_that_waits_is_served_once_there_is_room(served):
    # Guards against a wait that does not notice freed memory.
    served.hold.clear()
    first = served.send(sized(MAX_BODY))
    wait_until(lambda: served.held >= MAX_BODY)
    second = served.send(sized(MAX_BODY))
    wait_until(lambda: served.memory.waiting == 1)
    served.hold.set()
    assert first.recv(4096).startswith(b'HTTP/1.1 200')
    assert second.recv(4096).startswith(b'HTTP/1.1 200')


def test_a_request_that_has_sent_little_holds_little(served):
    # Guards against requests that announce a large body and keep the memory for it
    # from others without sending it.
    sent = 20 * KIB
    empty = [served.send(sized(MAX_BODY, missing=MAX_BODY - sent)) for _ in range(3)]
    wait_until(lambda: served.held >= 3 * sent)
    assert served.held <= 3 * (sent + READ_BYTES)
    sock = served.send(sized(MAX_BODY))
    assert sock.recv(4096).startswith(b'HTTP/1.1 200')
    for other in (*empty, sock):
        other.close()


def test_pieces_that_trickle_in_hold_memory_only_while_nobody_waits():
    # Guards against tiny pieces that each renew the time for the next one.
    served = Served(header_timeout_s=0.4)
    trickling = served.send(sized(MAX_BODY, missing=KIB))
    wait_until(lambda: served.held == MAX_BODY)
    served.send(sized(MAX_BODY, missing=1))
    for _ in range(12):
        gevent.sleep(0.1)
        try:
            trickling.sendall(b' ')
        except OSError:
            break
    assert trickling.recv(4096)[9:12] in (b'408', b'503')
    served.server.stop_accepting()


def test_memory_is_freed_when_callers_leave(served):
    # Guards against memory that is held for connections that have ended.
    stalled = [served.send(sized(MAX_BODY, missing=1)) for _ in range(6)]
    wait_until(lambda: served.memory.waiting > 0)
    for sock in stalled:
        sock.close()
    wait_until(lambda: served.held == 0)
    assert served.memory.budget.requests == 0
