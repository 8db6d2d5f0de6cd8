"""A caller gets an answer, whatever stands in its headers or in the configuration."""

from __future__ import annotations

import copy

import pytest

from pistachiopath.relay import planned_stop
from pistachiopath.startup import bounds
from tests.test_directory.records import record
from tests.test_exchange.sockets import ScriptedTarget
from tests.test_platform.test_configuration import VALID

from .parts import answer
from .test_entry import Node, plain

DIGITS_400 = b'9' * 400
DIGITS_5000 = b'9' * 5000


@pytest.fixture
def node(monkeypatch):
    monkeypatch.setattr(bounds, 'FIRST_CONFIGURATION_WAIT_S', 0.05)
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    return Node()


def request(*headers):
    lines = [b'POST /pay HTTP/1.1', b'Host: a.example', b'Request-Id: abc', *headers]
    return b'\r\n'.join([*lines, b'Content-Length: 2', b'', b'hi'])


TOO_LARGE = [
    b'Deadline-Ms: ' + DIGITS_400,
    b'Deadline-Ms: ' + DIGITS_5000,
    b'Token-Usage: ' + DIGITS_400 + b',80',
    b'Token-Usage: 80,' + DIGITS_5000,
    b'Token-Usage: 9223372036854775808,1',
    b'Last-Event-Id: ' + DIGITS_400,
    b'Last-Event-Id: ' + DIGITS_5000,
]
UNUSUAL = [
    b'Deadline-Ms: 600000000000',
    b'Deadline-Ms: ' + b'0' * 5000 + b'600',
    b'Deadline-Ms: \xb2',
    b'Deadline-Ms: -1',
    b'Token-Usage: 2147483647,2147483647',
    b'Token-Usage: \xb2,\xb3',
    b'Last-Event-Id: \xb9',
    b'Prefix-Hash: a:' + DIGITS_400 + b',b:' + DIGITS_5000 + b',c:1',
    b'Prefix-Hash: ' + b':,' * 3000,
    b'Model: \xff\xfe',
    # Regression: the request to the target lacked these headers.
    b'Connection: Host',
    b'Connection: keep-alive, request-id, replica-signature',
]


@pytest.mark.parametrize('header', TOO_LARGE, ids=lambda h: h[:30])
def test_a_number_that_is_too_large_is_answered_with_400(node, header):
    target = ScriptedTarget([answer()], [answer()])
    node.receive_news(records=[plain(target)])
    assert node.send_request(request(header)).startswith(b'HTTP/1.1 400')
    assert target.requests == []
    assert node.send_request(request()).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('header', UNUSUAL, ids=lambda h: h[:30])
def test_an_unusual_header_does_not_cost_a_caller_its_answer(node, header):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    assert node.send_request(request(header)).startswith(b'HTTP/1.1 200')


def test_a_target_gets_one_request_id_which_its_answer_repeats(node):
    target = ScriptedTarget([answer()])
    node.receive_news(records=[plain(target)])
    response = node.send_request(request(b'Request-Id: other'))
    assert response.startswith(b'HTTP/1.1 200')
    head, _ = target.requests[0]
    assert [line for line in head.split(b'\r\n') if b'request-id' in line] == [
        b'request-id: abc'
    ]


NAMES = ['Zürich', '客户 1', 'Øre 😀', ' t', 't' * 4000]


@pytest.mark.parametrize('name', NAMES, ids=lambda n: n[:10])
def test_a_customer_with_an_unusual_name_gets_its_answers(node, name):
    target = ScriptedTarget([answer()])
    document = copy.deepcopy(VALID)
    document['routes'][1]['public'] = False
    document['tenants'][1]['name'] = name
    node.receive_news(document=document, records=[plain(target)])
    response = node.send_request(request(b'Authorization: Token k3'))
    assert response.startswith(b'HTTP/1.1 200')
    head, _ = target.requests[0]
    assert b'\r\ntenant: ' + name.strip().encode() + b'\r\n' in head


def test_a_customer_with_a_key_beyond_latin_1_is_known(node):
    target = ScriptedTarget([answer()])
    document = copy.deepcopy(VALID)
    document['routes'][1]['public'] = False
    document['tenants'][1]['api_keys'] = ['ключ']
    node.receive_news(document=document, records=[plain(target)])
    key = 'Authorization: Token ключ'.encode()
    assert node.send_request(request(key)).startswith(b'HTTP/1.1 200')


def test_a_replica_with_an_id_beyond_latin_1_gets_requests(node):
    target = ScriptedTarget([answer()])
    replica = record(service='plain', address=target.address, replica='i-客')
    node.receive_news(records=[replica])
    assert node.send_request(request()).startswith(b'HTTP/1.1 200')
    assert 'i-客'.encode() in target.requests[0][0]
