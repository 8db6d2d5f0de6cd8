"""Requests at an entry that has just started."""

from __future__ import annotations

import copy
import time

import gevent

from pistachiopath.admission.leased_allowance import LeasedAllowance
from pistachiopath.messages.grants import WatchLoad
from pistachiopath.relay import planned_stop
from pistachiopath.routes.customer_account import CustomerAccount
from tests.harness.waiting import wait_until
from tests.test_directory.records import record
from tests.test_exchange.sockets import ScriptedTarget
from tests.test_platform.test_configuration import VALID
from tests.test_relay.parts import answer, chunk, events, stream_head
from tests.test_relay.test_entry import PAY, Node

STREAM = (
    b'POST /gen/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: abc\r\n'
    b'Authorization: Token k3\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi'
)


def resumable():
    """Return a configuration whose streams may be resumed, at one service."""
    document = copy.deepcopy(VALID)
    stream, pay = document['routes']
    stream['traffic_split'] = [{'backend': 'model', 'weight': 1}]
    pay['timeout_ms'] = 5000
    return document


def final_urgent():
    """Return a configuration whose most urgent streams can be sent only once."""
    document = resumable()
    document['routes'][0] |= {'attempts': 1, 'stream_resume': False}
    return document


def waiting(node):
    return len(node.entry._startup._events)


def test_a_request_waits_for_the_first_configuration_as_long_as_its_caller_can():
    # Requests were refused after 0.6 s, although the configuration of an entry on a
    # slow VM comes about a second after it listens.
    node = Node()
    target = ScriptedTarget([answer()])
    caller = node.open_request()
    wait_until(lambda: waiting(node) == 1)
    gevent.sleep(0.8)
    replica = record(service='plain', address=target.address)
    node.receive_news(document=resumable(), records=[replica])
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    node.entry.stop()


def test_a_caller_that_leaves_while_its_request_waits_is_noticed():
    node = Node()
    caller = node.open_request()
    wait_until(lambda: waiting(node) == 1)
    caller.close()
    wait_until(lambda: waiting(node) == 0)
    assert node.entry._handler.in_flight == 0
    node.entry.stop()


def test_a_request_that_waits_is_answered_at_a_planned_stop(monkeypatch):
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    node = Node()
    caller = node.open_request()
    wait_until(lambda: waiting(node) == 1)
    stop = gevent.spawn(node.entry.stop)
    response = caller.recv(65536)
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    stop.join()


def test_without_a_control_node_requests_are_refused_while_their_callers_wait():
    node = Node()
    began_at = time.monotonic()
    response = node.send_request(PAY.replace(b'6000', b'400'))
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    assert time.monotonic() - began_at >= 0.25
    node.entry.stop()


def test_the_first_replica_is_awaited_where_urgent_streams_can_be_sent_only_once():
    # Requests were refused with `no_target` after 0.4 of their objective, 0.2 s.
    node = Node()
    target = ScriptedTarget([stream_head() + chunk(events(1, 2)) + b'0\r\n\r\n'])
    node.receive_news(document=final_urgent())
    caller = node.open_request(STREAM)
    gevent.sleep(0.5)
    assert waiting(node) == 1
    replica = record(service='model', address=target.address)
    node.receive_news(document=final_urgent(), records=[replica])
    assert caller.recv(65536).startswith(b'HTTP/1.1 200')
    node.entry.stop()


def test_the_first_replica_is_not_awaited_in_other_deployments():
    node = Node()
    node.receive_news(document=resumable())
    began_at = time.monotonic()
    assert node.send_request(STREAM).startswith(b'HTTP/1.1 503')
    assert waiting(node) == 0
    assert time.monotonic() - began_at < 1.0
    node.entry.stop()


def test_without_a_replica_a_request_is_refused_before_its_caller_leaves():
    node = Node()
    node.receive_news(document=final_urgent())
    began_at = time.monotonic()
    response = node.send_request(STREAM.replace(b'6000', b'1200'))
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in response
    assert 0.6 <= time.monotonic() - began_at < 1.2
    node.entry.stop()


def test_a_request_that_waits_for_a_replica_is_answered_at_a_planned_stop(monkeypatch):
    monkeypatch.setattr(planned_stop, 'LEAVE_ROTATION_S', 0.05)
    node = Node()
    node.receive_news(document=final_urgent())
    caller = node.open_request(STREAM)
    wait_until(lambda: waiting(node) == 1)
    stop = gevent.spawn(node.entry.stop)
    assert caller.recv(65536).startswith(b'HTTP/1.1 503')
    stop.join()


def test_a_caller_that_leaves_while_it_waits_for_a_replica_is_noticed():
    node = Node()
    node.receive_news(document=final_urgent())
    caller = node.open_request(STREAM)
    wait_until(lambda: waiting(node) == 1)
    caller.close()
    wait_until(lambda: waiting(node) == 0)
    wait_until(lambda: node.entry._handler.in_flight == 0)
    node.entry.stop()


def test_waiting_for_a_configuration_does_not_use_up_an_allowance():
    # A bucket was refilled up to the time at which a request had come, before that of
    # the configuration, which took from it what grows in the time between.
    allowance = LeasedAllowance(started_ms=0)
    customer = CustomerAccount(name='c', keys=(), rate_per_s=100.0, burst=100.0)
    allowance.adopt((customer,), 11.0)
    assert allowance.take(customer, 50.0, 10.0) == 0.0
    assert allowance.take(customer, 50.0, 11.0) == 0.0


def test_the_gate_of_a_new_replica_is_watched_as_soon_as_it_is_known():
    # The first watch was sent up to 50 ms later, by the entry's timer.
    node = Node()
    sent = []
    node.entry._messages._send_all = sent.extend
    replica = record(service='model', address='127.0.0.1:9')
    node.receive_news(document=final_urgent(), records=[replica])
    assert any(isinstance(send.body, WatchLoad) for send in sent)
    node.entry.stop()


def test_what_is_known_and_how_many_waited_is_logged_and_counted(caplog):
    caplog.set_level('INFO')
    node = Node()
    caller = node.open_request(STREAM)
    wait_until(lambda: waiting(node) == 1)
    node.receive_news(document=final_urgent())
    wait_until(lambda: 'startup_known' in caplog.text)
    known = [r for r in caplog.records if r.msg == 'startup_known']
    assert [(r.subject, r.waiting) for r in known] == [('configuration', 1)]
    wait_until(lambda: 'startup_waits_total' in node.entry._metrics.render())
    text = node.entry._metrics.render()
    assert 'startup_waits_total{outcome="known",subject="configuration"} 1' in text
    assert 'startup_known_ms{service="",subject="configuration"}' in text
    caller.close()
    node.entry.stop()
