"""Allowances right after all processes have started again."""

from __future__ import annotations

import math
import random
import time
import types

import pytest

from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.relay.routes_in_force import RoutesInForce
from pistachiopath.startup.bounds import BORROW_INTERVAL_S, allowance_wait_s
from pistachiopath.startup.waits import StartupWaits
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.allowance_world import (
    ALLOWED,
    CUSTOMER,
    STEP_S,
    AllowanceWorld,
)
from tests.test_platform.test_configuration import encode

from .test_waits import final_urgent, resumable

OVERAGE, SLACK = 0.1, 300.0
COST = 50.0
OBJECTIVE_S = 0.55
LOAD = 0.9
# While lenders start they do not answer within the timeout of a question.
LENDER_BUSY_S = 0.4


class Restart:
    """All processes of a world start again within 0.6 s, 1.1 s after they ended."""

    def __init__(self, entries, seed, *, waits):
        self.rng = random.Random(seed)
        self.waits = waits
        self.world = AllowanceWorld(entries, overage=OVERAGE, slack=SLACK)
        self.refused = self.offered = 0
        self.pending = []
        self.started_at = {}
        self.run(4.0)
        self.refused = self.offered = 0
        world = self.world
        for name in tuple(world.lenders):
            world.stop_lender(name)
        world.nodes, world._in_transit = [], []
        world.borrow = self.borrow_from(world.borrow)
        begins = world.now + 1.1
        plan = [(begins + self.rng.uniform(0, 0.4), f'c{n}') for n in range(3)]
        plan += [(begins + self.rng.uniform(0, 0.6), n) for n in range(entries)]
        for at, name in sorted(plan, key=lambda item: item[0]):
            self.run(at - world.now)
            if isinstance(name, str):
                world.start_lender(name)
                continue
            node = world.new_entry(name)
            node.home = f'c{name % 3}'
            world.nodes.append(node)
            self.started_at[node.name] = world.now
        self.run(5.0)

    def borrow_from(self, borrow):
        def busy(node, cost):
            age_s = self.world.now - self.started_at.get(node.name, 0.0)
            return math.inf if age_s < LENDER_BUSY_S else borrow(node, cost)

        return busy

    def run(self, seconds):
        ends_at = self.world.now + seconds
        while self.world.now < ends_at:
            self.world.step()
            self.ask_again()
            per_step = LOAD * CUSTOMER.rate_per_s / COST * STEP_S
            if self.world.nodes and self.rng.random() < per_step:
                self.offer(self.rng.choice(self.world.nodes))

    def offer(self, node):
        self.offered += 1
        if node.take(COST):
            return
        wait_s = allowance_wait_s(
            None, OBJECTIVE_S, is_leased=node.allowance.is_leased(self.world.now)
        )
        now = self.world.now
        self.pending.append((node, now + wait_s, now + BORROW_INTERVAL_S))
        if not self.waits:
            self.refused += 1
            self.pending.pop()

    def ask_again(self):
        """Ask lenders again for the requests that wait, as `StartupWaits` does."""
        now, pending = self.world.now, self.pending
        self.pending = []
        for node, until, next_at in pending:
            if now < next_at:
                self.pending.append((node, until, next_at))
            elif not self.world.borrow(node, COST):
                self.world.admitted.append((now, COST))
            elif now >= until:
                self.refused += 1
            else:
                self.pending.append((node, until, now + BORROW_INTERVAL_S))


@pytest.mark.parametrize('entries', (7, 40, 70))
def test_customers_within_their_rate_are_not_refused_after_a_start(entries):
    # Entries refused what exceeded their share before a lender had answered them.
    for seed in range(4):
        restart = Restart(entries, seed, waits=True)
        assert restart.offered > 40
        assert restart.refused == 0
        assert restart.world.max_in_window() <= ALLOWED * (1 + OVERAGE) + SLACK


def test_without_waiting_some_would_be_refused():
    # Shows that the scenario above has the fault that it guards against.
    refused = [Restart(40, seed, waits=False).refused for seed in range(8)]
    assert sum(refused) > 0


def waits_of(document):
    routes = RoutesInForce(decode=decode_configuration)
    routes.adopt(7, encode(document))
    return routes.current, StartupWaits(
        routes=routes,
        ready_services=tuple,
        checks={},
        patience_s=lambda work, now: 2.0,
        metrics=Metrics(),
        started_at=time.monotonic(),
    )


@pytest.mark.parametrize('document, asked', ((final_urgent, 3), (resumable, 1)))
def test_a_lender_that_does_not_answer_is_asked_again_where_switched(document, asked):
    routes, waits = waits_of(document())
    answers = iter((math.inf, math.inf, 0.0))
    calls = []
    req = types.SimpleNamespace(deadline_s=1.0)
    result = waits.borrow(
        lambda: calls.append(1) or next(answers), req, routes.routes[0], routes
    )
    assert len(calls) == asked
    assert (result == 0.0) == (asked == 3)


def test_nothing_is_awaited_for_longer_than_its_bound():
    routes, waits = waits_of(final_urgent())
    req = types.SimpleNamespace(deadline_s=0.4)
    assert waits.borrow(lambda: math.inf, req, routes.routes[0], routes) == math.inf
    assert waits._borrowing == 0
