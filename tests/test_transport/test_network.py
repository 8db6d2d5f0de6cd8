from __future__ import annotations

import gevent
import pytest

from pistachiopath.messages.document import PutReply, ReadDocument
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport import network as network_module
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.failing import FailingMethod
from tests.harness.waiting import let_pass, wait_until
from tools.free_address import free_address


class Process:
    """A listening network that records its messages; it can be made to fail."""

    def __init__(self):
        self.address = free_address()
        self.received = []
        self.lost = []
        self.handle_error = None
        self.lost_error = None
        self.metrics = Metrics()
        self.network = Network(
            identity=Identity(
                name=self.address, role=ROLE_NODE, secrets={ROLE_NODE: b's'}
            ),
            on_message=self._on_message,
            on_lost=self._on_lost,
            failures=LoopFailures(metrics=self.metrics),
        )
        self.network.listen(self.address)

    def _on_message(self, _sender, call, _body):
        self.received.append(call)
        if self.handle_error is not None:
            raise self.handle_error

    def _on_lost(self, peer):
        self.lost.append(peer)
        if self.lost_error is not None:
            raise self.lost_error

    def wait_for(self, number):
        wait_until(lambda: len(self.received) >= number)


@pytest.fixture
def pair():
    processes = (Process(), Process())
    yield processes
    for process in processes:
        process.network.close(drain_s=0)


def test_messages_arrive_after_one_whose_handling_failed(pair):
    sender, receiver = pair
    receiver.handle_error = RuntimeError()
    sender.network.send(receiver.address, 1, ReadDocument())
    receiver.wait_for(1)
    receiver.handle_error = None
    for call in (2, 3):
        sender.network.send(receiver.address, call, ReadDocument())
    receiver.wait_for(3)
    assert receiver.received == [1, 2, 3]
    assert sender.lost == receiver.lost == []


def test_an_error_in_a_message_to_the_process_itself_is_counted(pair):
    process, _ = pair
    process.handle_error = RuntimeError()
    process.network.send(process.address, 1, PutReply(version=1))
    process.wait_for(1)
    gevent.sleep(0)
    assert 'part="PutReply"' in process.metrics.render()


def test_messages_are_not_queued_for_a_dial_that_failed_unexpectedly(pair, monkeypatch):
    def fail(_address):
        raise RuntimeError

    process, _ = pair
    monkeypatch.setattr(network_module, 'REDIAL_INTERVAL_S', 0.0)
    monkeypatch.setattr(network_module, 'split_address', fail)
    for call in (1, 2):
        process.network.send('127.0.0.1:1', call, ReadDocument())
        let_pass(0.01)
    assert process.lost == ['127.0.0.1:1'] * 2
    assert process.network._dialling == {}
    assert 'part="dial"} 2' in process.metrics.render()


def test_messages_are_not_queued_for_a_link_that_could_not_be_added(pair):
    # Regression: the queue of the dial was left, and all later messages joined it.
    sender, receiver = pair
    failing = FailingMethod(sender.network, '_add_link')
    sender.network.send(receiver.address, 1, ReadDocument())
    wait_until(lambda: failing.failed)
    assert sender.network._dialling == {}
    sender.network.send(receiver.address, 2, ReadDocument())
    receiver.wait_for(1)
    assert receiver.received == [2]


def test_an_unexpected_error_while_a_link_is_accepted_is_counted(pair, monkeypatch):
    def fail(*_):
        raise RuntimeError

    sender, receiver = pair
    monkeypatch.setattr(network_module, 'accept', fail)
    sender.network.send(receiver.address, 1, ReadDocument())
    wait_until(lambda: sender.lost)
    assert 'part="accept"} 1' in receiver.metrics.render()


def test_an_error_on_a_lost_link_does_not_reach_what_closed_it(pair):
    sender, receiver = pair
    sender.network.send(receiver.address, 1, ReadDocument())
    receiver.wait_for(1)
    receiver.lost_error = RuntimeError()
    sender.network.close(drain_s=0)
    wait_until(lambda: receiver.lost)
    assert 'part="lost"} 1' in receiver.metrics.render()


def test_links_are_accepted_after_an_accept_has_failed(pair):
    sender, receiver = pair
    receiver.network._server.delay = 0.01
    failing = FailingMethod(receiver.network._server, 'do_read')
    sender.network.send(receiver.address, 1, ReadDocument())
    receiver.wait_for(1)
    assert failing.failed == 1
