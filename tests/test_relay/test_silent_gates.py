"""Requests whose gate falls silent and goes on."""

from __future__ import annotations

import time

import gevent
import gevent.event
import pytest

from pistachiopath.grants.gate import LOST_ENTRY_HOLD_S, GrantGate
from pistachiopath.messages.grants import Ask, ReleasePlace, WatchLoad
from pistachiopath.relay.settings import LINK_SECRET
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.waiting import let_pass, wait_until
from tests.test_directory.records import record
from tests.test_exchange.sockets import Paused, ScriptedTarget
from tools.free_address import free_address

from .parts import answer, chunk, events, stream_head
from .test_entry import Node
from .test_planned_stop import Caller, document, post

END = b'0\r\n\r\n'
LIMIT_S = 8.0
EVENT_INTERVAL_S = 0.3


class PausingGate:
    """A gate that handles nothing while it stands still, and all of it afterwards."""

    def __init__(self):
        self.address = free_address()
        self.gate = GrantGate()
        self.lost = []
        self._unhandled = []
        self._is_still = False
        self._network = Network(
            identity=Identity(
                name=self.address, role=ROLE_NODE, secrets={ROLE_NODE: LINK_SECRET}
            ),
            on_message=self._on_message,
            on_lost=self._on_lost,
            failures=LoopFailures(metrics=Metrics()),
        )
        self._network.listen(self.address)
        gevent.spawn(self._tick)

    @property
    def is_still(self):
        return self._is_still

    @property
    def port(self):
        return int(self.address.rpartition(':')[2])

    def stand_still(self, seconds):
        self._is_still = True
        gevent.spawn_later(seconds, self._go_on)

    def _go_on(self):
        self._is_still = False
        unhandled, self._unhandled = self._unhandled, []
        for handle in unhandled:
            handle()

    def _on_lost(self, peer):
        if self._is_still:
            self._unhandled.append(lambda: self._on_lost(peer))
            return
        self.lost.append(peer)
        self._send(self.gate.entry_lost(peer, time.monotonic()))

    def _on_message(self, sender, call, body):
        if self._is_still:
            self._unhandled.append(lambda: self._on_message(sender, call, body))
            return
        now = time.monotonic()
        match body:
            case Ask():
                self._send(self.gate.ask(sender, body, now))
            case ReleasePlace():
                self._send(self.gate.release(sender, body, now))
            case WatchLoad(held=held) if held:
                self._send(self.gate.keep(sender, held, now))
            case WatchLoad():
                self._send(self.gate.watch(sender, body, now))

    def _tick(self):
        while True:
            gevent.sleep(0.05)
            if not self._is_still:
                self._send(self.gate.tick(time.monotonic()))

    def _send(self, effects):
        for effect in effects:
            self._network.send(effect.to, effect.call, effect.body)


class EndlessStream(Paused):
    """A response with an event after the other until `may_end` is set."""

    def __init__(self):
        super().__init__()
        self.may_end = gevent.event.Event()

    def send(self, sock):
        sock.sendall(stream_head())
        number = 0
        while not self.may_end.wait(EVENT_INTERVAL_S):
            sock.sendall(chunk(events(number, number)))
            number += 1
        sock.sendall(END)


def wait_for_answers(*callers):
    with gevent.Timeout(LIMIT_S):
        while not all(c.received.endswith((b'done', END)) for c in callers):
            gevent.sleep(0.02)
    assert [c.statuses for c in callers] == [[200]] * len(callers)


@pytest.mark.parametrize('still_s', [1.0, 2.5, 4.0])
def test_requests_are_answered_while_their_gate_stands_still(still_s):
    gate = PausingGate()
    node = Node(agent_port=gate.port)
    stream = [stream_head() + chunk(events(0, 2)), 3.0, chunk(events(3, 5)) + END]
    target = ScriptedTarget([Paused(*stream)], *[[answer()]] * 3)
    node.receive_news(document(), [record(address=target.address, slots=2)])
    let_pass(0.2)
    running = Caller(node, post(b'/gen/x'))
    wait_until(lambda: gate.gate.running == 1)
    gate.stand_still(still_s)
    asking = Caller(node, post(b'/engine/x'))
    let_pass(0.6)
    later = Caller(node, post(b'/engine/x'))
    wait_for_answers(asking, later, running)


def test_runs_keep_their_places_after_their_gate_has_stood_still():
    # Regression: the gate freed them once it had seen that its links were closed.
    gate = PausingGate()
    node = Node(agent_port=gate.port)
    stream = EndlessStream()
    target = ScriptedTarget([stream], *[[answer()]] * 3)
    node.receive_news(document(), [record(address=target.address, slots=1)])
    let_pass(0.2)
    running = Caller(node, post(b'/gen/x'))
    wait_until(lambda: target.requests)
    gate.stand_still(4.0)
    Caller(node, post(b'/engine/x'))
    wait_until(lambda: not gate.is_still)
    let_pass(LOST_ENTRY_HOLD_S + 0.5)
    assert gate.lost
    assert gate.gate.running == 1
    stream.may_end.set()
    wait_for_answers(running)


def test_a_request_does_not_wait_without_end_at_a_gate_that_fell_silent():
    gate = PausingGate()
    node = Node(agent_port=gate.port)
    target = ScriptedTarget([Paused(2 * LIMIT_S, answer())], [answer()])
    node.receive_news(document(), [record(address=target.address, slots=1)])
    let_pass(0.2)
    Caller(node, post(b'/engine/x'))
    wait_until(lambda: gate.gate.running == 1)
    waiting = Caller(node, post(b'/engine/x'))
    wait_until(lambda: gate.gate.waiting == 1)
    gate.stand_still(2 * LIMIT_S)
    wait_for_answers(waiting)
