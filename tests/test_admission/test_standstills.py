"""Allowances while entries and lenders stand still and go on."""

from __future__ import annotations

import random

import pytest

from tests.harness.allowance_world import (
    ALLOWED,
    CUSTOMER,
    STEP_S,
    TICK_S,
    AllowanceWorld,
)

COST = 5.0
TAKES_PER_STEP = 32
TAKES_AT_WAKING = 400


class StandstillWorld(AllowanceWorld):
    """A world whose `frozen` nodes do nothing; what is sent to them waits."""

    frozen = frozenset()

    def step(self):
        self.now += STEP_S
        arrived, waiting = [], []
        for message in self._in_transit:
            is_due = message[0] <= self.now and message[2] not in self.frozen
            (arrived if is_due else waiting).append(message)
        self._in_transit = waiting
        for _, sender, to, body in arrived:
            self._deliver(sender, to, body)
        if self.now >= self._next_tick_at:
            self._next_tick_at += TICK_S
            self.tick()

    def tick(self):
        for node in self.nodes:
            if node.name not in self.frozen:
                node.link.tick(self.now)
        for name, lending in self.lenders.items():
            if name not in self.frozen:
                self._carry_out(name, lending.tick(self.now))

    def run(self, seconds, rng):
        """Let callers ask for far more than they may at the entries that run."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
            running = [n for n in self.nodes if n.name not in self.frozen]
            for _ in range(TAKES_PER_STEP if running else 0):
                rng.choice(running).take(COST)

    def wake(self):
        """Run timers and requests that waited, before any message is read."""
        woken, self.frozen = self.frozen, frozenset()
        self.tick()
        for node in self.nodes:
            for _ in range(TAKES_AT_WAKING if node.name in woken else 0):
                node.take(COST)


def nodes_of(world, who):
    entries, lenders = {n.name for n in world.nodes}, set(world.lenders)
    return {
        'an_entry': {'e0'},
        'all_entries': entries,
        'a_lender': {'c0'},
        'all': entries | lenders,
    }[who]


@pytest.mark.parametrize('entries', [2, 7])
@pytest.mark.parametrize('who', ['an_entry', 'all_entries', 'a_lender', 'all'])
@pytest.mark.parametrize('standstill_s', [0.5, 2.0, 4.0])
def test_the_allowance_is_kept_whoever_stands_still(entries, who, standstill_s):
    world = StandstillWorld(entries)
    rng = random.Random(4)
    world.run(4.0, rng)
    for _ in range(4):
        world.frozen = frozenset(nodes_of(world, who))
        world.run(standstill_s, rng)
        world.wake()
        world.run(1.5, rng)
    assert world.max_in_window() < ALLOWED * 1.1 + CUSTOMER.rate_per_s
