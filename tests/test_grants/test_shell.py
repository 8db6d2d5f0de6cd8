from __future__ import annotations

import time

import pytest

from pistachiopath.grants.gate import LOST_ENTRY_HOLD_S
from pistachiopath.grants.shell import GateShell
from pistachiopath.grants.watch import WATCH_RENEWAL_S, LoadWatch
from pistachiopath.messages.grants import (
    Ask,
    GateLoad,
    Granted,
    ReleasePlace,
    WatchLoad,
)
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.failing import FailingMethod
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import let_pass, wait_until
from tools.free_address import free_address

SECRET = b's'
SHORT_DEADLINE_MS = 300


class Entry:
    """An entry that asks a gate for places."""

    def __init__(self, gate):
        self.peer = RecordingPeer(secret=SECRET)
        self._gate = gate

    @property
    def granted(self):
        return [b.request for b in self.peer.received if isinstance(b, Granted)]

    def ask(self, request, deadline_ms=10_000):
        self.send(
            Ask(
                request=request,
                tier=0,
                customer='c',
                prompt_tokens=1,
                output_tokens=1,
                objective_ms=deadline_ms,
                deadline_ms=deadline_ms,
                slots=1,
            )
        )

    def send(self, body):
        self.peer.network.send(self._gate, 0, body)


class Agent:
    """The gate of one engine over real sockets."""

    def __init__(self):
        self.metrics = Metrics()
        self.address = free_address()
        self.shell = GateShell(
            address=self.address, secret=SECRET, metrics=self.metrics
        )
        self.shell.start()
        self.entry = Entry(self.address)

    def stop(self):
        self.shell.stop()
        self.entry.peer.stop()


@pytest.fixture
def agent():
    agent = Agent()
    yield agent
    agent.stop()


@pytest.mark.parametrize('part', ['gate', 'load'])
def test_places_are_granted_after_a_timer_has_failed(agent, part):
    # Regression: one exception ended the timers, and places of requests that
    # were over were never granted again.
    methods = {'gate': (agent.shell.gate, 'tick'), 'load': (agent.metrics, 'set')}
    failing = FailingMethod(*methods[part])
    wait_until(lambda: failing.failed)
    agent.entry.ask('first', deadline_ms=SHORT_DEADLINE_MS)
    wait_until(lambda: agent.entry.granted == ['first'])
    agent.entry.ask('second')
    wait_until(lambda: agent.entry.granted == ['first', 'second'])
    assert f'loop="gate_timers",part="{part}"}} 1' in agent.metrics.render()


def test_places_are_granted_after_a_message_that_cannot_be_handled(agent):
    # Regression: the link was lost, and with it all requests of that entry.
    failing = FailingMethod(agent.shell.gate, 'watch')
    agent.entry.send(WatchLoad(slots=1))
    wait_until(lambda: failing.failed)
    agent.entry.ask('first')
    wait_until(lambda: agent.entry.granted == ['first'])
    agent.entry.send(WatchLoad(slots=1))
    loads = agent.entry.peer.number(GateLoad)
    wait_until(lambda: agent.entry.peer.number(GateLoad) > loads)
    assert agent.entry.peer.lost == []


def test_an_entry_that_has_connected_again_keeps_the_places_that_it_names(agent):
    # Regression: they were freed although their runs went on.
    agent.entry.ask('first')
    wait_until(lambda: agent.entry.granted == ['first'])
    gate = agent.shell.gate
    place = next(iter(gate._queue.running.values()))
    for link in list(agent.shell._network._links.values()):
        link.close()
    assert place.lost_at
    wait_until(lambda: agent.entry.peer.lost)
    agent.entry.send(WatchLoad(slots=0, held=('first',)))
    wait_until(lambda: not place.lost_at)
    agent.entry.ask('second')
    let_pass(LOST_ENTRY_HOLD_S + 0.3)
    assert agent.entry.granted == ['first']
    assert gate.waiting == 1


def test_a_watching_entry_without_requests_is_not_taken_for_silent(agent):
    # Regression: its link was closed as the load of others changed.
    watch = LoadWatch()
    watching = RecordingPeer(secret=SECRET)
    try:
        until = time.monotonic() + 2 * WATCH_RENEWAL_S
        while time.monotonic() < until:
            watching.send_all(watch.tick({agent.address: 1}, time.monotonic()))
            agent.entry.ask('first')
            agent.entry.send(ReleasePlace(request='first', first_ms=0, ok=False))
            let_pass(0.05)
        assert watching.number(GateLoad) > 2
        assert watching.lost == []
    finally:
        watching.stop()
