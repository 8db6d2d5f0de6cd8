"""Rollouts on the replicated log: durable, read back, beside the document."""

from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.document import core
from pistachiopath.document.rollout_control import RolloutControl
from pistachiopath.messages.document import PutDocument
from pistachiopath.messages.rollout_orders import (
    AdvanceRollout,
    DocumentSnapshot,
    OrderRollout,
    ReadRollout,
    RolloutReply,
)
from pistachiopath.messages.rollout_totals import RolloutTotals
from pistachiopath.rollouts.bounds import RolloutBounds
from pistachiopath.rollouts.state import RolloutState
from pistachiopath.transport.codec import decode_message, encode_message
from tests.harness.document_faults import SEEDS, inject_fault

from .worlds import formed_world

REPEAT_S = 6.0


class Operator:
    """Sends orders and reads to nodes of a world."""

    def __init__(self, world):
        self.world = world

    def ask(self, body, name=None):
        """Return the replies within half a second, from the leader by default."""
        node = self.world.nodes[name] if name else self.world.leader()
        if node is None or not node.alive:
            return []
        node.core._repeat_s = REPEAT_S
        before = len(self.world.replies)
        node.receive('operator', 0, body)
        self.world.run(0.5)
        replies = self.world.replies[before:]
        return [r for r in replies if isinstance(r, RolloutReply)]

    def order(self, to, service='s'):
        body = OrderRollout(
            service=service, to=to, duration_ms=9000, serving=('v1', 'v2')
        )
        return self.ask(body)

    def read(self, service='s', name=None):
        return self.ask(ReadRollout(service=service), name)

    def advance(self, service='s', **changes):
        leader = self.world.leader()
        record = leader.core.rollouts.records[service]
        body = AdvanceRollout(
            expected=record.serial, record=attrs.evolve(record, **changes)
        )
        leader.receive(leader.name, 0, body)
        self.world.run(0.3)


@pytest.fixture
def operator():
    return Operator(formed_world())


def restart_all(world, *, power=True):
    for name in SEEDS:
        world.nodes[name].kill(power=power)
    for name in SEEDS:
        world.nodes[name].start()
    world.run(3.0)


def test_an_acknowledged_order_is_on_all_nodes_and_outlives_a_loss_of_power(operator):
    (reply,) = operator.order('v2')
    assert not reply.is_refused
    assert reply.records[0].earlier == ('v1',)
    operator.advance(stage='step', share_ppm=300_000, elapsed_ms=4000)
    restart_all(operator.world)
    (reply,) = operator.read()
    assert reply.records[0].stage == 'step'
    leader = operator.world.leader()
    assert leader.core.rollouts.elapsed_s('s', operator.world.net.now) >= 4.0


def test_a_read_of_a_service_without_a_rollout_returns_nothing(operator):
    assert [reply.records for reply in operator.read()] == [()]


def test_a_partitioned_leader_acknowledges_no_order(operator):
    world = operator.world
    old_leader = world.leader().name
    others = [n for n in SEEDS if n != old_leader]
    world.net.cuts = {(old_leader, o) for o in others} | {
        (o, old_leader) for o in others
    }
    order = OrderRollout(service='s', to='v2', duration_ms=9000)
    assert operator.ask(order, old_leader) == []
    world.run(3.0)
    assert not operator.order('v3')[0].is_refused
    world.net.cuts = set()
    world.run(3.0)
    assert {n.core.rollouts.records['s'].to for n in world.nodes.values()} == {'v3'}


def test_rollouts_are_in_snapshots(operator, monkeypatch):
    operator.order('v2')
    operator.order('v5', service='t')
    operator.advance(state=RolloutState.COMPLETE)
    monkeypatch.setattr(core, 'COMPACT_ENTRIES', 1)
    operator.world.put()
    operator.world.run(1.0)
    monkeypatch.undo()
    restart_all(operator.world)
    leader = operator.world.leader()
    assert isinstance(decode_message(leader.replica.snapshot), DocumentSnapshot)
    assert operator.read()[0].records[0].state == RolloutState.COMPLETE
    assert operator.read('t')[0].records[0].to == 'v5'
    assert leader.core.version == operator.world.acked


def test_a_restored_record_does_not_count_as_fresh(operator, monkeypatch):
    # Otherwise an entry would trust a node that was off while a version turned bad.
    operator.order('v2')
    monkeypatch.setattr(core, 'COMPACT_ENTRIES', 1)
    operator.world.run(1.0)
    node = operator.world.nodes['c0']
    node.kill()
    node.start()
    now = operator.world.net.now
    (notice,) = node.core.rollouts.notices(now)
    assert notice.age_ms > 60_000


def test_without_rollouts_snapshots_are_those_of_older_builds(operator, monkeypatch):
    monkeypatch.setattr(core, 'COMPACT_ENTRIES', 1)
    operator.world.put()
    operator.world.run(1.0)
    snapshot = decode_message(operator.world.leader().replica.snapshot)
    assert snapshot == PutDocument(version=1, content=b'1')


def test_a_snapshot_of_an_older_build_is_read(operator):
    node = operator.world.leader()
    node.core._restore(encode_message(PutDocument(version=9, content=b'9')))
    assert node.core.version == 9
    assert node.core.rollouts.records == {}


@pytest.mark.parametrize('seed', range(6))
def test_acknowledged_states_survive_random_faults(seed):
    operator = Operator(formed_world())
    world, rng, down = operator.world, random.Random(seed), set()
    versions = {'s': '', 't': ''}
    for number in range(10):
        world.run(inject_fault(world, rng, down))
        service = rng.choice(sorted(versions))
        if world.leader() is None:
            continue
        replies = operator.order(f'v{number}', service)
        if replies and not replies[0].is_refused:
            assert replies[0].records[0].to == f'v{number}'
            versions[service] = f'v{number}'
        record = world.leader() and world.leader().core.rollouts.records.get(service)
        if record and rng.random() < 0.6:
            operator.advance(service, state=RolloutState.COMPLETE)
    for name in sorted(down):
        world.nodes[name].start()
    world.net.cuts = set()
    world.run(6.0)
    for service, to in versions.items():
        (reply,) = operator.read(service)
        if to:
            known = reply.records[0]
            # An order without an acknowledgement may have been accepted after it.
            assert known.to == to or known.order > 1
    records = [n.core.rollouts.records for n in world.nodes.values()]
    assert all(r == records[0] for r in records)


class Announcing:
    rollouts = None

    def push(self, now):
        return []


def control(world, name):
    return RolloutControl(
        bounds=RolloutBounds(exposure_share=0.1),
        core=lambda: world.nodes[name].core,
        announcer=Announcing(),
        propose=lambda change: None,
    )


def test_totals_go_to_the_leader_by_way_of_the_main_control_node(operator):
    world = operator.world
    leader = world.leader().name
    other = next(n for n in SEEDS if n != leader)
    body = RolloutTotals(session=1, orders=())
    now = world.net.now
    (send,) = control(world, other).on_totals('e1', body, now)
    assert (send.to, send.body.entry) == (leader, 'e1')
    # One that was passed on to a former leader goes no further.
    assert control(world, other).on_totals('c9', send.body, now) == []
    assert control(world, leader).on_totals(other, send.body, now) == []
