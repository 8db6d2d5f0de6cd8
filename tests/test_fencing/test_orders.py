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


def is_accepted(gate, fence, incarnation=7):
    reply, forwarded = gate.receive(order(fence, incarnation))
    assert reply.accepted == bool(forwarded)
    return reply.accepted


def test_a_new_agent_rejects_orders_of_an_earlier_leader():
    gate = OrderGate()
    assert not is_accepted(gate, 99)
    gate.registered(7, 20)
    assert not is_accepted(gate, 10)
    assert is_accepted(gate, 20)


def test_orders_for_another_incarnation_are_refused():
    gate = OrderGate()
    gate.registered(7, 0)
    assert not is_accepted(gate, 5, incarnation=6)


@given(st.lists(st.integers(1, 50), max_size=30), st.integers(0, 50))
def test_fences_of_accepted_orders_never_decrease(fences, registered_fence):
    gate = OrderGate()
    gate.registered(7, registered_fence)
    accepted = [fence for fence in fences if is_accepted(gate, fence)]
    assert accepted == sorted(accepted)
    assert all(fence >= registered_fence for fence in accepted)


def heartbeat(name, model='m', version='1', ready=True):
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
    """Engines that take ten rounds to load a model after an order."""

    def __init__(self, reports):
        self.reports = {r.target: r for r in reports}
        self.ready_at = {}
        self.min_ready = len(reports)
        self.reconciler = Reconciler(fence=1)

    def run(self, placements, rounds=400):
        for now in range(rounds):
            for target, ready_at in list(self.ready_at.items()):
                if now >= ready_at:
                    self._set(target, ready=True)
                    del self.ready_at[target]
            reports = list(self.reports.values())
            for addressed in self.reconciler.orders(placements, reports, float(now)):
                sent = addressed.order
                self._set(
                    addressed.target,
                    model=sent.model,
                    version=sent.version,
                    ready=False,
                )
                self.ready_at[addressed.target] = now + 10
            ready = sum(r.loaded[0].ready for r in self.reports.values())
            self.min_ready = min(self.min_ready, ready)

    def _set(self, target, **changes):
        report = self.reports[target]
        loaded = attrs.evolve(report.loaded[0], **changes)
        self.reports[target] = attrs.evolve(report, loaded=(loaded,))

    def models(self):
        return sorted(
            (r.loaded[0].model, r.loaded[0].version) for r in self.reports.values()
        )


def test_a_new_version_is_rolled_out_to_a_tenth_at_a_time():
    fleet = Fleet([heartbeat(f't{n}') for n in range(10)])
    fleet.run((ModelPlacement(name='m', version='2', replicas=10),))
    assert fleet.models() == [('m', '2')] * 10
    assert fleet.min_ready == 9


def test_the_last_ready_target_is_not_updated():
    fleet = Fleet([heartbeat('t0'), heartbeat('t1', ready=False)])
    fleet.ready_at['t1'] = 200
    fleet.run((ModelPlacement(name='m', version='2', replicas=2),), rounds=100)
    assert fleet.reports['t0'].loaded[0].version == '1'


def test_a_surplus_target_is_given_another_model():
    fleet = Fleet([heartbeat(f't{n}', model='a') for n in range(4)])
    placements = (
        ModelPlacement(name='a', version='1', replicas=3),
        ModelPlacement(name='b', version='5', replicas=1),
    )
    fleet.run(placements)
    assert fleet.models() == [('a', '1')] * 3 + [('b', '5')]
