"""Random exchanges of seeds, blank restarts, replaced and lost disks, and cuts."""

from __future__ import annotations

import os

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.harness.peered_world import PeeredWorld

from .test_one_group import cut_apart, first_records

# `SEED_EXCHANGES=1000` plays more by hand.
EXAMPLES = int(os.environ.get('SEED_EXCHANGES', '20'))
STEPS = 8
# A machine counts as lost for so long after it is back, in seconds.
CATCH_UP_S = 4.0
# The operator's list names a replaced machine no more after this time, in seconds.
SEED_LAG_S = 3.0
SETTLE_S = 10.0
seconds = st.sampled_from([0.0, 0.3, 1.0, 4.0])


class SeedExchanges(RuleBasedStateMachine):
    """One group throughout, which every node rejoins and which loses nothing."""

    tolerated = 1
    disks = 3

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed):
        others = tuple(f'c{n}' for n in range(3, self.disks))
        self.world = PeeredWorld(seed=seed, others=others, tolerated=self.tolerated)
        for number in range(3):
            self.world.add(f'd{number}', diskless=True)
        self.world.run(6.0)
        self.added = 0

    @property
    def with_disk(self):
        return [n for n, node in self.world.nodes.items() if not node.diskless]

    @property
    def without_disk(self):
        return [n for n, node in self.world.nodes.items() if node.diskless]

    @rule(data=st.data(), wait_s=seconds)
    def exchange_seeds(self, data, wait_s):
        names = st.sampled_from(sorted(self.world.nodes))
        seeds = st.lists(names, min_size=3, max_size=3, unique=True)
        self.world.exchange_seeds(data.draw(seeds))
        self.world.run(wait_s)

    @rule(data=st.data(), down_s=st.sampled_from([0.1, 1.0, 5.0, 17.0]), wait_s=seconds)
    def restart_blank_nodes(self, data, down_s, wait_s):
        names = st.sampled_from(self.without_disk)
        chosen = data.draw(st.lists(names, min_size=1, unique=True))
        self.world.restart_blank(chosen, down_s)
        self.world.run(wait_s)

    @rule(
        data=st.data(),
        down_s=st.sampled_from([0.3, 1.0, 5.0]),
        is_wiped=st.booleans(),
        has_blank_seeds=st.booleans(),
    )
    def lose_machines(self, data, down_s, is_wiped, has_blank_seeds):
        names = st.sampled_from(self.with_disk)
        lost = data.draw(
            st.lists(names, min_size=1, max_size=self.tolerated, unique=True)
        )
        for name in lost:
            self.world.nodes[name].kill(power=True)
            if is_wiped:
                self.world.nodes[name].lose_disk()
        if has_blank_seeds:
            self.world.exchange_seeds(self.without_disk)
            self.world.restart_blank(self.without_disk, 0.5)
        self.world.run(down_s)
        for name in lost:
            self.world.nodes[name].start()
        self.world.run(CATCH_UP_S)

    @rule(down_s=st.sampled_from([0.3, 2.0]))
    def restart_all(self, down_s):
        for name, node in self.world.nodes.items():
            node.kill(power=True)
            if name in self.without_disk:
                node.lose_disk()
        self.world.run(down_s)
        for node in self.world.nodes.values():
            node.start()
        self.world.run(CATCH_UP_S)

    @precondition(lambda self: self.added < 3)
    @rule(data=st.data(), is_down_before=st.booleans())
    def replace_a_machine(self, data, is_down_before):
        name = data.draw(st.sampled_from(self.with_disk))
        self.added += 1
        successor = f'n{self.added}'
        if is_down_before:
            self.world.nodes[name].kill(power=True)
            self.world.run(1.0)
        self.world.remove(name)
        self.world.add(successor)
        self.world.run(SEED_LAG_S)
        self.world.exchange_seeds(
            successor if seed == name else seed for seed in self.world.seeds
        )
        self.world.run(CATCH_UP_S)

    @rule(data=st.data(), for_s=st.sampled_from([1.0, 4.0, 25.0]))
    def cut_machines_off(self, data, for_s):
        cut = data.draw(
            st.lists(
                st.sampled_from(self.with_disk),
                max_size=self.tolerated,
                unique=True,
            )
        )
        cut += data.draw(st.lists(st.sampled_from(self.without_disk), unique=True))
        cut_apart(self.world, cut)
        self.world.run(for_s)
        self.world.net.cuts = set()
        self.world.run(CATCH_UP_S)

    @rule(wait_s=seconds)
    def put(self, wait_s):
        self.world.put()
        self.world.run(wait_s)

    @invariant()
    def there_is_one_group(self):
        if self.world is not None:
            assert len(first_records(self.world)) <= 1

    def teardown(self):
        if self.world is None:
            return
        world = self.world
        world.run(SETTLE_S)
        assert world.in_group() == sorted(world.nodes), 'a node is outside of the group'
        voters = min(2 * self.tolerated + 1, len(self.with_disk))
        assert len(world.voters()) == voters
        version = world.put()
        world.run(1.0)
        assert world.acked == version, 'a put is not acknowledged'
        world.restart_blank(self.with_disk[: self.tolerated], 1.0)
        world.run(SETTLE_S)
        reads = world.reads
        world.read()
        world.run(1.0)
        assert world.reads == reads + 1, 'the acknowledged version is gone'


class SeedExchangesOfManyDisks(SeedExchanges):
    tolerated = 2
    disks = 6


@pytest.mark.parametrize('machine', [SeedExchanges, SeedExchangesOfManyDisks])
def test_all_nodes_stay_in_one_group_under_exchanges_of_seeds(machine):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
