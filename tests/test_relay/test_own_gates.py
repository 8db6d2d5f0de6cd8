from __future__ import annotations

import gevent
import pytest

from pistachiopath.errors.relay import PlaceDenied
from pistachiopath.grants.watch import LoadWatch
from pistachiopath.lifetimes.lifetime_doubts import LifetimeDoubts
from pistachiopath.lifetimes.restart_watch import RestartWatch
from pistachiopath.messages.grants import GateLoad
from pistachiopath.relay.own_gates import OwnGates
from pistachiopath.relay.places import Places
from pistachiopath.relay.targets import Targets
from pistachiopath.routes.route_set import RouteSet
from pistachiopath.routes.service import Service
from pistachiopath.routing.replica_health import ReplicaHealth
from pistachiopath.util.turn_clock import TurnClock
from tests.harness.waiting import let_pass
from tests.test_directory.records import record
from tests.test_grants.asks import ask

from .parts import FakeEntry

GATE = OwnGates.address('model')


class Entry:
    """Places of an entry whose engines have no gate."""

    def __init__(self):
        self.gates = OwnGates(deliver=self._deliver)
        self.places = Places(send=lambda gate, call, body: self.gates.send(gate, body))

    def _deliver(self, gate, body):
        if isinstance(body, GateLoad):
            self.places.handle_load(gate)
        else:
            self.places.handle_reply(gate, body)

    def acquire(self, **details):
        return self.places.acquire(GATE, ask(**details), lambda: False)


def test_engines_without_a_gate_get_no_more_than_the_entrys_share_at_once():
    entry = Entry()
    held = [entry.acquire(request=name, slots=2) for name in 'ab']
    tag = gevent.spawn(entry.acquire, request='tag', tier=2, slots=2)
    gevent.sleep(0)
    report = gevent.spawn(entry.acquire, request='report', tier=0, slots=2)
    let_pass(0.01)
    assert not tag.ready()
    assert not report.ready()
    entry.places.release(held[0], 30, ok=True)
    report.get(timeout=1)
    assert not tag.ready()
    entry.places.release(held[1], 30, ok=True)
    assert tag.get(timeout=1).request == 'tag'


def test_a_request_that_would_wait_too_long_is_denied_at_once():
    entry = Entry()
    entry.acquire(request='a', slots=1, output_tokens=5000)
    with pytest.raises(PlaceDenied):
        entry.acquire(request='b', slots=1, deadline_ms=500)


def targets_of(entries, replicas):
    service = Service(name='model', slots=5, has_engine=True)
    routes = RouteSet(version=1, routes=(), services=(service,), customers=())
    fake = FakeEntry([])
    fake.entries = entries
    for name in replicas:
        fake.directory.merge(record(replica=name, service='model', slots=5), 0.0)
    loads = LoadWatch()
    return loads, Targets(
        subscriber=fake,
        loads=loads,
        agent_port=7002,
        routes=lambda: routes,
        health=ReplicaHealth(),
        turns=TurnClock(),
        restarts=RestartWatch(started_at=0.0),
        doubts=LifetimeDoubts(),
    )


def test_entries_together_send_ungated_engines_about_as_many_as_they_run():
    # Regression: each of 18 entries took a place at each engine of five places.
    replicas = [f'r{n}' for n in range(8)]
    loads, targets = targets_of(18, replicas)
    for replica in replicas:
        address = targets.gate(targets._subscriber.directory.get(replica))
        loads._gates = frozenset({*loads._gates, address})
        loads.mark_lost(address)
    shares = {c.shared_places for c in targets.candidates('model', set(), 10.0)}
    assert shares == {3}
    assert 18 * 3 <= 8 * 5 + 18


@pytest.mark.parametrize(('entries', 'engines'), [(18, 8), (4, 1), (2, 8)])
def test_own_gates_together_bound_tokens_by_the_memory_of_the_ungated_engines(
    entries, engines
):
    # Engines crash if each entry grants places for the whole memory of an engine.
    replicas = [f'r{n}' for n in range(engines)]
    loads, targets = targets_of(entries, replicas)
    for replica in replicas:
        address = targets.gate(targets._subscriber.directory.get(replica))
        loads._gates = frozenset({*loads._gates, address})
        loads.mark_lost(address)
    bounds = {c.memory_tokens(200_000) for c in targets.candidates('model', set(), 9.0)}
    assert len(bounds) == 1
    assert entries * bounds.pop() <= engines * 200_000 + entries


def test_a_gate_beside_an_engine_has_its_whole_memory():
    _, targets = targets_of(18, ['r1'])
    [found] = targets.candidates('model', set(), 9.0)
    assert found.is_gated
    assert found.memory_tokens(200_000) == 200_000
