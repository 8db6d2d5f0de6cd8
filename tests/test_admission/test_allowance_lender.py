from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.admission.lender_buckets import INITIAL_LEVEL_PART
from pistachiopath.messages.allowance import CustomerUse, UseReport
from tests.harness.allowance_world import (
    ALLOWED,
    CUSTOMER,
    STEP_S,
    AllowanceWorld,
)


def test_after_all_processes_restart_the_accrued_allowance_is_available():
    # Regression: requests that had waited for their entries were refused, because
    # the buckets of restarted lenders held a ninth of the allowance.
    world = AllowanceWorld(7)
    for name in tuple(world.lenders):
        world.stop_lender(name)
        world.start_lender(name)
    world.nodes = [world.new_entry(n) for n in range(7)]
    world.advance(0.2)
    assert world.nodes[0].take(0.3 * CUSTOMER.rate_per_s)


def test_the_initial_level_of_a_restarted_lender_is_granted_once():
    lender = AllowanceLender(session=1)
    lender.adopt((CUSTOMER,), 0.0)
    lender.record_entry_report('e', UseReport(session=1, uses=(), begins=True), 0.0)
    total = int(INITIAL_LEVEL_PART * CUSTOMER.burst)
    used = CustomerUse(customer='c', total=total, asked=total)
    lender.record_entry_report('e', UseReport(session=1, uses=(used,)), 0.0)
    lease = lender.leases('e', 0.0).leases[0]
    assert lease.level == 0


def test_use_counted_by_a_lenders_predecessor_is_not_counted_again():
    lender = AllowanceLender(session=1)
    lender.adopt((CUSTOMER,), 0.0)
    used = CustomerUse(customer='c', total=50_000, asked=60_000)
    lender.record_entry_report('e', UseReport(session=9, uses=(used,)), 1.0)
    assert lender.leases('e', 1.0).leases == ()


def test_use_that_a_lender_did_not_confirm_is_reported_to_the_next():
    world = AllowanceWorld(2, lenders=2)
    node = world.nodes[0]
    while not node.allowance.take(CUSTOMER, 100.0, world.now):
        world.admitted.append((world.now, 100.0))
    used = sum(cost for _, cost in world.admitted)
    world.stop_lender(node.home)
    world.advance(0.4)
    lender = world.lenders[node.link._lender]._lender
    bucket = dict(lender._buckets.items())['c']
    refilled = 0.5 * CUSTOMER.rate_per_s
    assert bucket.level <= CUSTOMER.burst - used + refilled


class ExactBucket:
    """A single central token bucket, as the reference."""

    def __init__(self):
        self.level = CUSTOMER.burst
        self.updated_at = 0.0

    def take(self, cost, now):
        gained = (now - self.updated_at) * CUSTOMER.rate_per_s
        self.level = min(CUSTOMER.burst, self.level + gained)
        self.updated_at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


def refused_within_allowance(overage, seed, entries=7):
    """Return the part refused of what an exact bucket allows, at 1.1 times the rate."""
    world = AllowanceWorld(entries, overage=overage)
    rng = random.Random(seed)
    exact = ExactBucket()
    allowed = refused = 0
    for _ in range(1000):
        world.step()
        for _ in range(4):
            cost = rng.choice((2.0, 4.0, 10.5))
            is_allowed = rng.choice(world.nodes).take(cost)
            if exact.take(cost, world.now):
                allowed += 1
                refused += not is_allowed
    assert world.max_in_window() < ALLOWED * 1.1
    return refused / allowed


@pytest.mark.parametrize('seed', range(3))
def test_little_is_refused_that_a_central_bucket_would_allow(seed):
    # Regression: 3 to 4 in 100 were refused while lenders never exceeded the rate.
    assert refused_within_allowance(0.1, seed) < 0.01


MANY_CUSTOMERS = tuple(attrs.evolve(CUSTOMER, name=f'c{n}') for n in range(19))
STATED_BYTES_PER_S = 3000.0


def bytes_per_s_of_an_entry(entries, seconds=4.0):
    """Return the bytes per second sent and received by an entry at 8 requests/s."""
    world = AllowanceWorld(
        entries, lenders=max(3, entries // 14), customers=MANY_CUSTOMERS
    )
    rng = random.Random(3)
    world.sent.clear()
    for _ in range(round(seconds / STEP_S)):
        world.step()
        for node in world.nodes:
            if rng.random() < 8 * STEP_S:
                node.allowance.take(rng.choice(MANY_CUSTOMERS), 2.0, world.now)
    names = [n.name for n in world.nodes]
    sent = sum(world.sent[name][1] for name in names)
    received = sum(b for n, (_, b) in world.sent.items() if n not in names)
    return (sent + received) / entries / seconds


def test_the_traffic_of_an_entry_does_not_grow_with_the_number_of_entries():
    # Regression: each entry reported to all others, 20 times a second.
    small, large = bytes_per_s_of_an_entry(7), bytes_per_s_of_an_entry(70)
    assert large < 1.2 * small
    assert large < STATED_BYTES_PER_S
