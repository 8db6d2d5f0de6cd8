"""Replicas that leave, or ask for a backoff, and say so in an answer."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent.server import StreamServer

from pistachiopath.exchange.answer import AnswerHead
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.routing.replica_health import ReplicaHealth
from tests.test_directory.records import record
from tests.test_exchange.sockets import Paused, ScriptedTarget
from tests.test_platform.test_configuration import VALID
from tools.free_address import free_address

from .parts import SIGNED, answer, chunk, events, stream_head
from .test_entry import PAY, Node, node, plain  # noqa: F401

LEAVING = b'Server-Leaving: 1\r\n'
LAST_CHUNK = b'0\r\n\r\n'
REFUSED = b'Request-Id: abc\r\nNot-Executed: 1\r\n'


def leaving_answers():
    return {
        'success': answer(extra=SIGNED + LEAVING),
        'failure': answer(b'oops', b'500 Error', SIGNED + LEAVING),
        'refusal': answer(b'', b'503 Busy', REFUSED + LEAVING),
        'unproven': answer(extra=LEAVING),
    }


@pytest.mark.parametrize('kind', leaving_answers())
def test_a_replica_that_says_it_leaves_gets_no_further_request(node, kind):  # noqa: F811
    target = ScriptedTarget([leaving_answers()[kind], answer()], [answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    assert node.send_request().startswith(b'HTTP/1.1 503')
    assert len(target.requests) == 1


def test_a_stream_whose_head_says_that_its_replica_leaves_is_the_last_one_there(node):  # noqa: F811
    first = stream_head(LEAVING) + chunk(events(0, 1))
    target = ScriptedTarget(
        [Paused(first, 0.3, chunk(events(2, 3)) + LAST_CHUNK)], [answer()]
    )
    node.receive_news(document=with_streams(), records=[plain(target)])
    caller = node.open_request(PAY.replace(b'/pay', b'/gen/1'))
    received = caller.recv(65536)
    assert received.startswith(b'HTTP/1.1 200')
    assert node.send_request().startswith(b'HTTP/1.1 503')
    while LAST_CHUNK not in received:
        part = caller.recv(65536)
        assert part
        received += part
    assert b'id: 3' in received
    assert len(target.requests) == 1


def test_a_replica_that_says_early_that_it_leaves_gets_no_further_request(node):  # noqa: F811
    # It answers before it has read the body, and closes.
    target = EarlyTarget(answer(b'', b'503 Busy', REFUSED + LEAVING))
    node.receive_news(document=with_large_bodies(), records=[plain(target)])
    body = b'x' * 3_000_000
    request = PAY.replace(b'Length: 2\r\n\r\nhi', b'Length: %d\r\n\r\n' % len(body))
    assert node.send_request(request + body).startswith(b'HTTP/1.1 503')
    assert node.send_request().startswith(b'HTTP/1.1 503')
    assert target.connections == 1


class EarlyTarget:
    """Answers each connection at once and closes it."""

    def __init__(self, response):
        self.address = free_address()
        self.connections = 0
        self._response = response
        host, _, port = self.address.partition(':')
        StreamServer((host, int(port)), self._serve).start()

    def _serve(self, sock, _address):
        self.connections += 1
        sock.recv(1000)
        sock.sendall(self._response)
        sock.close()


def with_large_bodies():
    return VALID | {'version': 8, 'limits': {'max_body_bytes': 4_000_000}}


def with_streams():
    """Return a configuration whose streams go to the service without engines."""
    stream = VALID['routes'][0] | {'public': True, 'backend': 'plain'}
    del stream['traffic_split']
    return VALID | {'version': 8, 'routes': [stream, VALID['routes'][1]]}


def test_replicas_that_leave_one_after_the_other_are_all_left_alone(node):  # noqa: F811
    refusal = answer(b'', b'503 Busy', REFUSED + LEAVING)
    targets = [ScriptedTarget([refusal, answer()]) for _ in range(3)]
    records = [
        record(replica=f'r{n}', service='plain', address=target.address)
        for n, target in enumerate(targets)
    ]
    node.receive_news(records=records)
    responses = [node.send_request() for _ in range(5)]
    assert all(response.startswith(b'HTTP/1.1 503') for response in responses)
    assert all(len(target.requests) <= 1 for target in targets)


def test_a_replica_that_says_it_leaves_and_goes_on_is_not_believed_again(node):  # noqa: F811
    # A replica that lies loses only the requests of the entries that it answered.
    target = ScriptedTarget([answer(extra=SIGNED + LEAVING)], [answer()])
    other = Node()
    other.receive_news(records=[plain(target)])
    node.receive_news(records=[plain(target)])
    node.send_request()
    for sequence in (2, 3):
        fresher = record(service='plain', address=target.address, sequence=sequence)
        node.receive_news(records=[fresher])
        assert node.send_request().startswith(b'HTTP/1.1 503')
    assert other.send_request().startswith(b'HTTP/1.1 200')


def test_no_announcement_of_the_same_lifetime_brings_a_leaving_replica_back(node):  # noqa: F811
    target = ScriptedTarget([answer(extra=SIGNED + LEAVING), answer()], [answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    fresher = record(service='plain', address=target.address, sequence=9)
    node.receive_news(records=[fresher])
    assert node.send_request().startswith(b'HTTP/1.1 503')
    reborn = record(service='plain', address=target.address, born_ms=9000)
    node.receive_news(records=[reborn])
    assert node.send_request().startswith(b'HTTP/1.1 200')


def refused_for(seconds):
    return answer(b'', b'503 Busy', REFUSED + b'Retry-After: %s\r\n' % seconds)


def test_a_replica_that_asks_for_a_backoff_gets_nothing_until_it_ends(node):  # noqa: F811
    target = ScriptedTarget([refused_for(b'0.9'), answer()], [answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    response = node.send_request()
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    assert len(target.requests) == 1
    gevent.sleep(0.95)
    assert node.send_request().startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('step_s', [-3600.0, 3600.0])
def test_a_step_of_the_clock_does_not_end_a_backoff(node, monkeypatch, step_s):  # noqa: F811
    target = ScriptedTarget([refused_for(b'0.6'), answer()], [answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    time_of_day = time.time
    monkeypatch.setattr(time, 'time', lambda: time_of_day() + step_s)
    assert node.send_request().startswith(b'HTTP/1.1 503')
    gevent.sleep(0.65)
    assert node.send_request().startswith(b'HTTP/1.1 200')


def test_a_new_lifetime_at_the_address_of_one_that_backs_off_is_used(node):  # noqa: F811
    target = ScriptedTarget([refused_for(b'30')], [answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    reborn = record(service='plain', address=target.address, born_ms=9000)
    node.receive_news(records=[reborn])
    assert node.send_request().startswith(b'HTTP/1.1 200')


def test_a_refusal_that_was_read_late_counts_from_then(node):  # noqa: F811
    # The entry was frozen while the refusal arrived.
    target = ScriptedTarget([refused_for(b'0.5'), answer()], [answer()])
    node.receive_news(records=[plain(target)])
    caller = node.open_request()
    gevent.sleep(0.0)
    time.sleep(0.3)
    assert caller.recv(65536).startswith(b'HTTP/1.1 503')
    assert node.send_request().startswith(b'HTTP/1.1 503')
    assert len(target.requests) == 1


def test_a_refusal_while_all_back_off_says_when_the_first_is_back(node):  # noqa: F811
    targets = [
        ScriptedTarget([refused_for(b'40')]),
        ScriptedTarget([refused_for(b'20')]),
    ]
    records = [
        record(replica=f'r{n}', service='plain', address=target.address)
        for n, target in enumerate(targets)
    ]
    node.receive_news(records=records)
    node.send_request()
    node.send_request()
    answers = [node.send_request() for _ in range(4)]
    waits = {
        float(response.split(b'retry-after: ')[1].split(b'\r\n')[0])
        for response in answers
    }
    assert all(19.0 <= wait <= 33.0 for wait in waits)
    assert len(waits) == len(answers)
    assert [len(t.requests) for t in targets] == [1, 1]


def test_another_service_goes_on_beside_one_that_backs_off(node):  # noqa: F811
    busy, other = ScriptedTarget([refused_for(b'30')]), ScriptedTarget([answer()])
    node.receive_news(records=[plain(busy)])
    node.send_request()
    node.receive_news(
        records=[record(replica='r2', service='plain', address=other.address)]
    )
    assert node.send_request().startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    ('status', 'value', 'backoff_s', 'unreadable'),
    [
        (503, b'2', 2.0, ''),
        (503, b' 0.25 ', 0.25, ''),
        (503, b'-3', 0.0, '-3'),
        (503, b'1e9', 0.0, '1e9'),
        (503, b'nan', 0.0, 'nan'),
        (503, b'Wed, 21 Oct 2026 07:28:00 GMT', 0.0, 'Wed, 21 Oct 2026 07:28:00 GMT'),
        (503, b'9' * 60, 0.0, '9' * 40),
        (503, b'', 0.0, ''),
        (500, b'2', 0.0, ''),
        (421, b'2', 0.0, ''),
    ],
)
def test_only_seconds_beside_a_503_are_a_backoff(status, value, backoff_s, unreadable):
    head = AnswerHead(status=status, headers=[(b'retry-after', value)])
    notice = PlatformDialect().notice(head)
    assert (notice.backoff_s, notice.unreadable) == (backoff_s, unreadable)


def test_neither_a_shorter_backoff_nor_a_success_ends_a_backoff():
    health = ReplicaHealth()
    health.asked_for_backoff('r', 1, 10.0, 0.0)
    health.asked_for_backoff('r', 1, 1.0, 1.0)
    health.succeeded('r', 2.0)
    assert health.backoff_until('r', 1) == 10.0
    assert health.backoff_until('r', 2) == 0.0


def test_a_late_answer_of_an_earlier_lifetime_does_not_end_a_backoff():
    health = ReplicaHealth()
    health.asked_for_backoff('r', 2, 10.0, 0.0)
    health.asked_for_backoff('r', 1, 60.0, 1.0)
    assert health.backoff_until('r', 2) == 10.0
