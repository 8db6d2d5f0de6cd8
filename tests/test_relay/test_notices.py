"""Replicas that leave, or ask for a backoff, and say so in an answer."""

from __future__ import annotations

import gevent
import pytest

from pistachiopath.exchange.answer import AnswerHead
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.routing.replica_health import ReplicaHealth
from tests.test_directory.records import record
from tests.test_exchange.sockets import ScriptedTarget

from .parts import SIGNED, answer
from .test_entry import Node, node, plain  # noqa: F401

LEAVING = b'Server-Leaving: 1\r\n'
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
    target = ScriptedTarget([leaving_answers()[kind], answer()])
    node.receive_news(records=[plain(target)])
    node.send_request()
    assert node.send_request().startswith(b'HTTP/1.1 503')
    assert len(target.requests) == 1


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
