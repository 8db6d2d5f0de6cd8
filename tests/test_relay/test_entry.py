from __future__ import annotations

import json
import random

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.claims.identity import fingerprint
from pistachiopath.exchange.request import HttpRequest
from pistachiopath.messages.directory import News
from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.quarantine.content import shared_parts
from pistachiopath.relay import planned_stop
from pistachiopath.relay.caller_request import CallerRequest
from pistachiopath.relay.entry import RelayEntry
from pistachiopath.relay.exchange_run import ExchangeRun
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.request_log import RequestLog
from pistachiopath.relay.settings import RelaySettings
from pistachiopath.startup import bounds
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.telemetry.spans import NoSpans
from tests.harness.waiting import let_pass
from tests.test_directory.records import record
from tests.test_exchange.sockets import ScriptedTarget
from tests.test_platform.test_configuration import VALID
from tools.free_address import free_address

from .parts import answer

PAY = (
    b'POST /pay HTTP/1.1\r\nHost: a.example\r\nRequest-Id: abc\r\n'
    b'Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi'
)


class Node:
    """An entry that receives scripted messages from a control node."""

    def __init__(self, grace_s=2.0, agent_port=1, rollouts=None):
        self.callers, self.readiness = free_address(), free_address()
        self.entry = RelayEntry(
            cfg=RelaySettings(
                name='e',
                zone='a',
                callers_address=self.callers,
                readiness_address=self.readiness,
                node_address=free_address(),
                seeds=(),
                agent_port=agent_port,
                retry_budget=RetryBudgetLimits(ratio=0.2, slack=60, window_s=10),
                grace_s=grace_s,
                rollouts=rollouts,
            ),
            dialect=PlatformDialect(),
            decode=decode_configuration,
            metrics=Metrics(),
            spans=NoSpans(),
            rng=random.Random(1),
        )
        self.entry.start()

    def receive_news(self, document=VALID, records=(), version=None, rollouts=()):
        content = json.dumps(document).encode()
        news = News(
            feed=1,
            change=len(records),
            version=version or document['version'],
            content=content,
            records=tuple(records),
            controls=(),
            entries=1,
            silent=(),
            rollouts=rollouts,
        )
        self.entry._messages.handle('127.0.0.1:9', 0, news)

    def open_request(self, request=PAY, address=None):
        host, _, port = (address or self.callers).partition(':')
        sock = gsocket.create_connection((host, int(port)))
        sock.sendall(request)
        return sock

    def send_request(self, request=PAY, address=None):
        return self.open_request(request, address).recv(65536)

    def is_ready(self):
        request = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
        return self.send_request(request, self.readiness).startswith(b'HTTP/1.1 200')


@pytest.fixture
def node(monkeypatch):
    monkeypatch.setattr(bounds, 'FIRST_CONFIGURATION_WAIT_S', 0.05)
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    return Node()


def plain(target):
    return record(service='plain', address=target.address)


def test_an_entry_without_a_configuration_refuses_requests(node):
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    assert not node.is_ready()


def test_a_request_goes_to_a_replica_of_its_service(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    assert node.is_ready()
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 200')
    assert response.endswith(b'done')


def test_a_draining_replica_gets_no_more_requests(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    draining = record(
        service='plain', address=target.address, state='draining', sequence=2
    )
    node.receive_news(records=[draining])
    assert node.send_request().startswith(b'HTTP/1.1 503')
    assert target.requests == []


def test_a_configuration_that_cannot_be_decoded_is_ignored(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    node.receive_news(document={'version': 9}, version=9)
    assert node.send_request().startswith(b'HTTP/1.1 200')


def test_an_older_configuration_is_never_adopted(node):
    node.receive_news()
    node.receive_news(document={**VALID, 'version': 5, 'routes': []})
    assert not node.send_request().startswith(b'HTTP/1.1 404')


def test_a_first_attempt_with_a_short_deadline_keeps_its_whole_objective(node):
    # Regression: the timeout less the deadline counted as time already spent.
    node.receive_news()
    rng = random.Random(4)
    spent = []
    for number in range(200):
        req = CallerRequest(
            http=HttpRequest(method=b'POST', target=b'/gen/x', headers=[], body=b''),
            request_id=str(number),
            host='a.example',
            key='k3',
            deadline_s=5.0 * rng.uniform(0.87, 1.0),
        )
        spent.append(node.entry._handler.admit(req, 100.0).spent_ms)
    assert sum(ms > 0 for ms in spent) <= 2


def test_content_that_crashed_replicas_elsewhere_is_turned_away(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    content = fingerprint('', '/pay', b'hi')
    marks = tuple(
        CrashMark(fingerprint=content, lifetime=name, age_ms=age_ms, ran_ms=10)
        for name, age_ms in (('r1', 900), ('r2', 100))
    )
    node.entry._messages.handle('127.0.0.1:8', 0, CrashMarks(marks=marks))
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 503')
    assert target.requests == []


@pytest.mark.parametrize('depth', [1, 3, 2**40, -5])
def test_a_part_in_quarantine_is_refused_at_any_position(node, depth):
    # Regression: where the part came later in other prompts, there was no answer.
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    (part,) = shared_parts('m', ['shared', 'own'])
    marks = tuple(
        CrashMark(
            fingerprint=part.key, lifetime=name, age_ms=age_ms, ran_ms=10, depth=depth
        )
        for name, age_ms in (('r1', 900), ('r2', 500), ('r3', 100))
    )
    node.entry._messages.handle('127.0.0.1:8', 0, CrashMarks(marks=marks))
    prompt = b'Model: m\r\nPrefix-Hash: shared:5,own:5\r\nContent-Length'
    response = node.send_request(PAY.replace(b'Content-Length', prompt))
    assert response.startswith(b'HTTP/1.1 503')
    assert target.requests == []


def test_a_stopping_entry_is_not_ready_and_closes_its_connections(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    host, _, port = node.callers.partition(':')
    conn = gsocket.create_connection((host, int(port)))
    conn.sendall(PAY)
    assert b'done' in conn.recv(65536)
    stopping = gevent.spawn(node.entry.stop)
    let_pass(0.01)
    assert not node.is_ready()
    stopping.get(timeout=30)
    assert conn.recv(65536) == b''
    with pytest.raises(OSError):
        node.send_request()


class Fault(Exception):
    """An error that no code expects."""


def raise_fault(*_args, **_kwargs):
    raise Fault


def test_a_request_that_fails_unexpectedly_before_it_is_sent_gets_503(
    node, monkeypatch
):
    # Regression: its connection ended without an answer.
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    monkeypatch.setattr(Placer, 'choose', raise_fault)
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    assert b'abc' in response
    assert target.requests == []


def test_a_request_that_fails_unexpectedly_after_it_was_sent_gets_502(
    node, monkeypatch
):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    monkeypatch.setattr(ExchangeRun, '_relay_answer', raise_fault)
    assert node.send_request().startswith(b'HTTP/1.1 502')
    assert len(target.requests) == 1


def test_an_unexpected_failure_before_the_admission_gets_503(node, monkeypatch):
    node.receive_news()
    monkeypatch.setattr(PlatformDialect, 'read', raise_fault)
    assert node.send_request().startswith(b'HTTP/1.1 503')


def test_an_unexpected_failure_after_the_answer_adds_nothing_to_it(node, monkeypatch):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    monkeypatch.setattr(RequestLog, 'done', raise_fault)
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 200')
    assert response.endswith(b'done')
