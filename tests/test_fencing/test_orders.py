from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.configuration.configuration import ModelPlacement
from pistachiopath.fencing.order_gate import OrderGate
from pistachiopath.fencing.reconciler import Reconciler
from pistachiopath.messages.fencing import LoadedModel, Order
from pistachiopath.messages.membership import Heartbeat, Load


def order(fence, incarnation=7):
    return Order(
        fence=fence, incarnation=incarnation, model='m', version='2', adapters=()
    )


def passes(gate, fence, incarnation=7):
    reply, passed = gate.receive(order(fence, incarnation))
    assert reply.accepted == bool(passed)
    return reply.accepted


def test_an_agent_that_just_started_obeys_no_old_leadership():
    gate = OrderGate()
    assert not passes(gate, 99)
    gate.registered(7, 20)
    assert not passes(gate, 10)
    assert passes(gate, 20)


def test_orders_for_another_incarnation_are_refused():
    gate = OrderGate()
    gate.registered(7, 0)
    assert not passes(gate, 5, incarnation=6)


@given(st.lists(st.integers(1, 50), max_size=30), st.integers(0, 50))
def test_what_passes_never_goes_down(fences, learnt):
    gate = OrderGate()
    gate.registered(7, learnt)
    passed = [fence for fence in fences if passes(gate, fence)]
    assert passed == sorted(passed)
    assert all(fence >= learnt for fence in passed)


def host(name, model='m', version='1', ready=True):
    loaded = LoadedModel(model=model, version=version, adapters=(), ready=ready)
    return Heartbeat(
        target=name,
        incarnation=7,
        sequence=1,
        address=name,
        zone='dc0',
        models=(model,),
        services=(),
        departing=False,
        revision=1,
        load=Load(),
        rates=(),
        loaded=(loaded,),
    )


class Fleet:
    """Engines that take ten rounds to load what they are told."""

    def __init__(self, hosts):
        self.hosts = {h.target: h for h in hosts}
        self.until = {}
        self.least_ready = len(hosts)
        self.reconciler = Reconciler(fence=1)

    def run(self, placements, rounds=400):
        for now in range(rounds):
            for target, at in list(self.until.items()):
                if now >= at:
                    self._set(target, ready=True)
                    del self.until[target]
            reports = list(self.hosts.values())
            for addressed in self.reconciler.orders(placements, reports, float(now)):
                told = addressed.order
                self._set(
                    addressed.target,
                    model=told.model,
                    version=told.version,
                    ready=False,
                )
                self.until[addressed.target] = now + 10
            ready = sum(h.loaded[0].ready for h in self.hosts.values())
            self.least_ready = min(self.least_ready, ready)

    def _set(self, target, **changes):
        known = self.hosts[target]
        loaded = attrs.evolve(known.loaded[0], **changes)
        self.hosts[target] = attrs.evolve(known, loaded=(loaded,))

    def models(self):
        return sorted(
            (h.loaded[0].model, h.loaded[0].version) for h in self.hosts.values()
        )


def test_a_new_version_reaches_all_a_tenth_at_a_time():
    fleet = Fleet([host(f't{n}') for n in range(10)])
    fleet.run((ModelPlacement(name='m', version='2', replicas=10),))
    assert fleet.models() == [('m', '2')] * 10
    assert fleet.least_ready == 9


def test_the_last_serving_target_is_not_taken_away():
    fleet = Fleet([host('t0'), host('t1', ready=False)])
    fleet.until['t1'] = 200
    fleet.run((ModelPlacement(name='m', version='2', replicas=2),), rounds=100)
    assert fleet.hosts['t0'].loaded[0].version == '1'


def test_a_target_that_is_spare_changes_its_model():
    fleet = Fleet([host(f't{n}', model='a') for n in range(4)])
    placements = (
        ModelPlacement(name='a', version='1', replicas=3),
        ModelPlacement(name='b', version='5', replicas=1),
    )
    fleet.run(placements)
    assert fleet.models() == [('a', '1')] * 3 + [('b', '5')]
