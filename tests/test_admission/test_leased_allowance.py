from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.admission.leased_allowance import LeasedAllowance
from pistachiopath.messages.allowance import AllowanceLeases
from pistachiopath.routes.customer_account import CustomerAccount
from tests.harness.allowance_world import (
    ALLOWED,
    CUSTOMER,
    STEP_S,
    AllowanceWorld,
)


@pytest.mark.parametrize('cut', [set(), {'e0'}, {'e0', 'e1', 'e2'}, {'c0'}])
def test_all_entries_together_keep_the_allowance_also_when_cut_off(cut):
    world = AllowanceWorld(7)
    rng = random.Random(4)
    world.overload(4.0, rng)
    world.cut_nodes = cut
    world.overload(20.0, rng)
    # Use before the first reports to the lenders goes beyond the allowance.
    assert world.max_in_window() < ALLOWED * 1.1 + CUSTOMER.rate_per_s
    assert sum(c for _, c in world.admitted) > 0.6 * CUSTOMER.rate_per_s * 24


@pytest.mark.parametrize('entries', [7, 35, 70])
def test_the_allowance_is_kept_and_used_with_any_number_of_entries(entries):
    world = AllowanceWorld(entries, lenders=5, overage=0.1)
    rng = random.Random(4)
    for _ in range(round(16.0 / STEP_S)):
        world.step()
        for _ in range(32):
            rng.choice(world.nodes).take(5.0)
    assert world.max_in_window() < ALLOWED * 1.1 + CUSTOMER.rate_per_s
    assert sum(c for _, c in world.admitted) > 0.95 * CUSTOMER.rate_per_s * 16


@pytest.mark.parametrize('entries', [7, 70])
def test_the_stated_slack_is_never_exceeded_under_overload(entries):
    slack = 3 * CUSTOMER.burst
    world = AllowanceWorld(entries, lenders=5, overage=0.1, slack=slack)
    rng = random.Random(4)
    for _ in range(round(16.0 / STEP_S)):
        world.step()
        for _ in range(32):
            rng.choice(world.nodes).take(5.0)
    assert world.max_in_window() < ALLOWED * 1.1 + slack


def refused_part_of_large_requests(slack):
    """Return the refused part of requests that cost a third of the burst each."""
    world = AllowanceWorld(33, overage=0.1, slack=slack)
    rng = random.Random(2)
    asked = refused = 0
    for _ in range(1500):
        world.step()
        if rng.random() < 0.6 * CUSTOMER.rate_per_s * STEP_S / 330.0:
            asked += 1
            refused += not rng.choice(world.nodes).take(330.0)
    assert asked > 40
    return refused / asked


def test_few_large_requests_are_rarely_refused_below_the_rate():
    # Regression: 228 of 9,554 requests of a quiet day were refused, of customers
    # whose whole burst is five requests.
    assert refused_part_of_large_requests(0.0) > 0.02
    assert refused_part_of_large_requests(3 * CUSTOMER.burst) < 0.01


def test_a_stopped_entry_costs_at_most_its_share_of_the_allowance():
    # Regression: only 0.60 of the allowance was used while one entry of seven was
    # down.
    world = AllowanceWorld(7)
    rng = random.Random(6)
    world.overload(4.0, rng)
    world.cut_nodes = {'e0'}
    world.nodes.pop(0)
    world.overload(2.0, rng)
    before = sum(cost for _, cost in world.admitted)
    world.overload(10.0, rng)
    used = sum(cost for _, cost in world.admitted) - before
    assert used > 0.82 * CUSTOMER.rate_per_s * 10


@pytest.mark.parametrize(
    ('side', 'between'),
    [({0}, {3, 4, 5, 6}), ({0, 1}, {4, 5, 6}), ({0, 1, 2}, {6}), ({0}, {5, 6})],
)
def test_overlapping_partitions_do_not_double_the_allowance(side, between):
    # Both sides use what the entries connected to both leave unused.
    world = AllowanceWorld(7, lenders=7)
    rng = random.Random(9)
    world.overload(4.0, rng)
    other = set(range(7)) - side - between
    world.cut_links = {frozenset((f'c{a}', f'c{b}')) for a in side for b in other}
    for quiet in between:
        world.nodes[quiet].take = lambda cost: False
    world.overload(20.0, rng)
    # The platform tolerates one second of the rate and a tenth in excess.
    assert world.max_in_window() < ALLOWED * 1.1 + CUSTOMER.rate_per_s


@pytest.mark.parametrize('period_s', [0.2, 0.5, 1.0, 3.0])
@pytest.mark.parametrize('cut', [{'e0', 'e1', 'e2'}, {'c0'}, {'c0', 'c1', 'c2'}])
def test_the_excess_of_repeated_partitions_does_not_add_up(period_s, cut):
    world = AllowanceWorld(7)
    rng = random.Random(8)
    world.overload(4.0, rng)
    for period in range(int(20 / period_s)):
        world.cut_nodes = cut if period % 2 else set()
        world.overload(period_s, rng)
    assert world.max_in_window() < ALLOWED * 1.1 + 2 * CUSTOMER.rate_per_s


@pytest.mark.parametrize('seed', range(6))
def test_the_excess_of_random_faults_does_not_add_up(seed):
    world = AllowanceWorld(12, lenders=3, overage=0.1)
    rng = random.Random(seed)
    for _ in range(30):
        event = rng.randrange(5)
        if event == 0:
            world.cut_nodes = set(rng.sample([n.name for n in world.nodes], 4))
        elif event == 1:
            world.cut_nodes = {rng.choice(['c0', 'c1', 'c2'])}
        elif event == 2 and len(world.lenders) > 1:
            world.stop_lender(rng.choice(sorted(world.lenders)))
        elif event == 3:
            number = rng.randrange(len(world.nodes))
            world.nodes[number] = world.new_entry(number)
        else:
            world.cut_nodes = set()
            for name in ('c0', 'c1', 'c2'):
                if name not in world.lenders:
                    world.start_lender(name)
        world.overload(rng.uniform(0.2, 2.0), rng, cost=5.0, offers=3)
    assert world.max_in_window() < ALLOWED * 1.1 + CUSTOMER.rate_per_s


def test_a_partition_does_not_double_the_burst_allowance():
    # Regression: both sides of the cut began with full buckets and the whole rate
    # for a second.
    world = AllowanceWorld(7)
    rng = random.Random(6)
    world.cut_links = {frozenset(('c0', 'c1')), frozenset(('c0', 'c2'))}
    world.overload(20.0, rng)
    assert world.max_in_window() < ALLOWED * 1.2


def test_below_the_allowance_nothing_is_refused_at_any_entry():
    world = AllowanceWorld(7)
    rng = random.Random(5)
    refused = 0
    for step in range(1000):
        world.step()
        node = world.nodes[0] if step < 500 else rng.choice(world.nodes)
        refused += not node.take(18.0)
    assert refused == 0


@pytest.mark.parametrize('cut', [{'e0'}, {'e0', 'e1', 'e2'}, {'c1'}])
def test_below_the_allowance_nothing_is_refused_after_a_partition(cut):
    # Regression: after the cut all entries at once subtracted the others' use
    # during it, and refused customers far below their allowance.
    world = AllowanceWorld(7)
    rng = random.Random(7)
    refused = 0
    for step in range(1000):
        world.cut_nodes = cut if 200 <= step < 550 else set()
        world.step()
        is_allowed = rng.choice(world.nodes).take(10.0)
        refused += step >= 550 and not is_allowed
    assert refused == 0


def free_allowance():
    """Return an entry's allowance for a customer far below its limit."""
    node = LeasedAllowance(started_ms=1)
    node.adopt((CUSTOMER,), 0.0)
    node.set_leases(AllowanceLeases(leases=()), 0.0)
    return node


def test_the_cost_of_a_request_that_did_not_run_is_returned():
    node = free_allowance()
    assert node.take(CUSTOMER, 500.0, 0.0) == 0
    assert node.take(CUSTOMER, 500.0, 0.0) == pytest.approx(0.5)
    node.give_back(CUSTOMER, 500.0)
    assert node.take(CUSTOMER, 500.0, 0.0) == 0
    assert node.report().uses[0].total == 500


def test_a_new_configuration_does_not_refill_buckets():
    node = free_allowance()
    node.take(CUSTOMER, 500.0, 0.0)
    node.adopt((CUSTOMER,), 0.0)
    assert node.take(CUSTOMER, 100.0, 0.0) > 0


def test_a_customer_without_a_rate_has_no_limit():
    free = CustomerAccount(name='f', keys=())
    node = LeasedAllowance(started_ms=1)
    assert node.take(free, 1e9, 0.0) == 0


@pytest.mark.parametrize('rate_per_s', [5e-324, 1e-300, 1e-9])
def test_a_request_beyond_the_smallest_of_rates_is_told_to_wait(rate_per_s):
    customer = attrs.evolve(CUSTOMER, rate_per_s=rate_per_s, burst=0.0)
    entry = LeasedAllowance(started_ms=1)
    entry.set_known_entries(3)
    entry.adopt((customer,), 0.0)
    entry.take(customer, 1.0, 0.1)
    assert entry.take(customer, 1.0, 0.2) > 0
