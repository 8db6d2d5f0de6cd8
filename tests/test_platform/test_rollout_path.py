"""A rollout over real links: operator, control node, entry and replicas."""

from __future__ import annotations

import json
import random
import time

import gevent
import gevent.socket as gsocket
import pytest
from gevent.server import StreamServer

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.relay.entry import RelayEntry
from pistachiopath.relay.settings import RelaySettings
from pistachiopath.rollouts.bounds import RolloutBounds
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.telemetry.spans import NoSpans
from tests.harness.waiting import wait_until
from tools.free_address import free_address

from .test_control_api import announcement
from .test_rollout_api import ControlNode

REQUEST = (
    'POST /pay HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n'
    'Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi'
)
ANSWER = (
    'HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nReplica-Signature: s\r\n'
    'Connection: close\r\nContent-Length: 2\r\n\r\nok'
)


class Replica:
    """Answers every request with its status, and counts them."""

    def __init__(self, node, name, version, status='200 OK'):
        self.node, self.name, self.version = node, name, version
        self.status = status
        self.received = 0
        self.address = free_address()
        host, port = self.address.split(':')
        self._server = StreamServer((host, int(port)), self._serve)
        self._server.start()
        self.announce()
        gevent.spawn(self._announce_always)

    def _announce_always(self):
        while True:
            gevent.sleep(0.6)
            self.announce()

    def announce(self):
        body = announcement(backend='plain', address=self.address, version=self.version)
        path = f'/pistachiopath/replicas/{self.name}'
        assert self.node.call('PUT', path, body)[0] == 200

    def _serve(self, sock, _address):
        data = b''
        while not data.endswith(b'hi'):
            part = sock.recv(65536)
            if not part:
                return
            data += part
        self.received += 1
        lines = data.decode().lower().split('\r\n')
        name = next(x for x in lines if x.startswith('request-id:')).split()[1]
        sock.sendall(ANSWER.format(status=self.status, id=name).encode())
        sock.close()


@pytest.fixture
def node(tmp_path):
    node = ControlNode(tmp_path, exposure_share=0.1)
    node.configure()
    yield node
    node.program.stop()


def start_entry(node):
    callers = free_address()
    entry = RelayEntry(
        cfg=RelaySettings(
            name='e',
            zone='a',
            callers_address=callers,
            readiness_address=free_address(),
            node_address=free_address(),
            seeds=(node.node,),
            agent_port=1,
            retry_budget=RetryBudgetLimits(ratio=0.2, slack=60, window_s=10),
            grace_s=2.0,
            rollouts=RolloutBounds(exposure_share=0.1),
        ),
        dialect=PlatformDialect(),
        decode=decode_configuration,
        metrics=Metrics(),
        spans=NoSpans(),
        rng=random.Random(1),
    )
    entry.start()
    wait_until(lambda: entry.is_ready)
    return callers


def send_requests(address, number_per_s):
    host, port = address.split(':')
    serial = 0

    def send(name):
        with gsocket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall(REQUEST.format(id=name).encode())
            while sock.recv(4096):
                pass

    while True:
        serial += 1
        gevent.spawn(send, f'q{serial}')
        gevent.sleep(1 / number_per_s)


def run(node, new_status):
    """Roll out a version; return its state once it has ended, and the replicas."""
    old = Replica(node, 'old', 'v1')
    callers = start_entry(node)
    load = gevent.spawn(send_requests, callers, 40)
    try:
        wait_until(lambda: old.received > 5)
        assert node.order(backend='plain', duration_s=6) == 200
        new = Replica(node, 'new', 'v2', new_status)
        ordered_at = time.monotonic()
        state = 'active'
        while state == 'active' and time.monotonic() < ordered_at + 20:
            gevent.sleep(0.2)
            state = node.state('plain')[1]['state']
        gevent.sleep(0.5)
        received = (old.received, new.received)
        gevent.sleep(0.5)
        return state, old.received - received[0], new.received - received[1], new
    finally:
        load.kill()


def test_a_version_that_fails_is_rolled_back(node):
    state, old_after, new_after, new = run(node, '500 Error')
    assert state == 'rolled_back'
    assert old_after > 0
    assert new_after == 0
    assert 5 <= new.received <= 60
    metrics = node.metrics.render()
    assert 'rollout_changes_total{stage="canary",state="rolled_back"} 1' in metrics


def test_a_good_version_takes_over(node):
    state, old_after, new_after, _ = run(node, '200 OK')
    assert state == 'complete'
    assert old_after == 0
    assert new_after > 0
    assert json.loads(node.call('GET', '/pistachiopath/rollouts/plain')[1]) == {
        'state': 'complete',
        'to': 'v2',
    }
