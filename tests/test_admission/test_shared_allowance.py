from __future__ import annotations

import random

import pytest

from pistachiopath.admission.shared_allowance import RESTART_S, SharedAllowance
from pistachiopath.messages.allowance import CustomerUse, UseReport
from pistachiopath.routes.customer_account import CustomerAccount

CUSTOMER = CustomerAccount(
    name='c', keys=('k',), rate_per_s=1000.0, burst=1000.0, counts_tokens=True
)
WINDOW_S = 8.0


class Entries:
    """Entries that tell each other their use every 0.1 s, 20 ms late."""

    def __init__(self, number, overage=0.0):
        self.now = 0.0
        self.nodes = [
            SharedAllowance(started_ms=n, overage=overage) for n in range(number)
        ]
        self.cut = set()
        self.links = set()
        self.taken = []
        for node in self.nodes:
            node.set_known_entries(number)
        self.tell()
        for node in self.nodes:
            node.adopt((CUSTOMER,), 0.0)

    def is_cut(self, sender, to):
        return bool({sender, to} & self.cut) or frozenset((sender, to)) in self.links

    def tell(self):
        for sender, node in enumerate(self.nodes):
            for to, other in enumerate(self.nodes):
                if sender != to and not self.is_cut(sender, to):
                    other.heard(str(sender), node.report(self.now), self.now)

    def press(self, seconds, rng, cost=50.0, offers=20):
        """Offer far more than is allowed at every entry."""
        for step in range(int(seconds * 50)):
            self.now += 0.02
            if step % 5 == 0:
                self.tell()
            for node in self.nodes:
                for _ in range(offers):
                    if rng.random() < 0.3 and not node.take(CUSTOMER, cost, self.now):
                        self.taken.append((self.now, cost))

    def most_in_a_window(self):
        return max(
            sum(cost for at, cost in self.taken if end - WINDOW_S < at <= end)
            for end, _ in self.taken
        )


@pytest.mark.parametrize('cut', [set(), {0}, {0, 1, 2}])
def test_all_entries_together_keep_the_allowance_also_when_cut_off(cut):
    entries = Entries(7)
    rng = random.Random(4)
    entries.press(4.0, rng)
    entries.cut = cut
    entries.press(20.0, rng)
    allowed = CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst
    # Reports are 0.1 s apart; what is pressed meanwhile goes beyond.
    assert entries.most_in_a_window() < allowed * 1.1 + 7 * 1000
    assert sum(c for _, c in entries.taken) > 0.6 * CUSTOMER.rate_per_s * 24


def test_an_entry_that_ended_takes_no_more_than_its_part_along():
    # Failing first: 0.60 of the allowance while one entry of seven was gone.
    entries = Entries(7)
    rng = random.Random(6)
    entries.press(4.0, rng)
    entries.cut = {0}
    gone = entries.nodes.pop(0)
    entries.nodes.insert(0, SharedAllowance(started_ms=gone._started_ms))
    entries.nodes[0].adopt((CUSTOMER,), entries.now)
    entries.nodes[0].take = lambda customer, cost, now: 1.0
    entries.press(2.0, rng)
    before = sum(cost for _, cost in entries.taken)
    entries.press(10.0, rng)
    used = sum(cost for _, cost in entries.taken) - before
    assert used > 0.82 * CUSTOMER.rate_per_s * 10


@pytest.mark.parametrize(
    ('side', 'between'),
    [({0}, {3, 4, 5, 6}), ({0, 1}, {4, 5, 6}), ({0, 1, 2}, {6}), ({0}, {5, 6})],
)
def test_entries_that_hear_both_sides_of_a_cut_do_not_double_the_allowance(
    side, between
):
    # Both sides count on what those between them leave unused.
    entries = Entries(7)
    rng = random.Random(9)
    entries.press(4.0, rng)
    other = set(range(7)) - side - between
    entries.links = {frozenset((a, b)) for a in side for b in other}
    for quiet in between:
        entries.nodes[quiet].take = lambda customer, cost, now: 1.0
    entries.press(20.0, rng)
    allowed = CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst
    # The platform allows a second of the rate and a tenth beyond it.
    assert entries.most_in_a_window() < allowed * 1.1 + CUSTOMER.rate_per_s


@pytest.mark.parametrize('period_s', [0.2, 0.5, 1.0, 3.0])
def test_cuts_that_come_and_go_do_not_add_up(period_s):
    entries = Entries(7)
    rng = random.Random(8)
    entries.press(4.0, rng)
    for turn in range(int(20 / period_s)):
        entries.cut = {0, 1, 2} if turn % 2 else set()
        entries.press(period_s, rng)
    allowed = CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst
    assert entries.most_in_a_window() < allowed * 1.1 + 7 * 1000


class Halves(Entries):
    """Two parts that are cut off from each other but for one entry."""

    def is_cut(self, sender, to):
        return bool(self.cut) and {sender, to} & {0, 1, 2} and {sender, to} & {4, 5, 6}


def test_a_cut_does_not_double_what_a_burst_may_take():
    # Failing first: QUOTA on Prairie Commons' trouble-1, a fifth too much:
    # both parts began with full buckets and with the whole rate for a second.
    entries = Halves(7)
    rng = random.Random(6)
    entries.cut = {0}
    entries.press(20.0, rng)
    allowed = CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst
    assert entries.most_in_a_window() < allowed * 1.2


def test_below_the_allowance_nothing_is_refused_wherever_it_comes_in():
    entries = Entries(7)
    rng = random.Random(5)
    refused = 0
    for step in range(1000):
        entries.now += 0.02
        if step % 5 == 0:
            entries.tell()
        node = entries.nodes[0] if step < 500 else rng.choice(entries.nodes)
        refused += node.take(CUSTOMER, 18.0, entries.now) > 0
    assert refused == 0


@pytest.mark.parametrize('cut', [{0}, {0, 1, 2}])
def test_below_the_allowance_little_is_refused_after_a_cut_heals(cut):
    # Failing first: all entries took off at once what the others had let
    # through during the cut, and refused customers far below their allowance.
    entries = Entries(7)
    rng = random.Random(7)
    refused = 0
    for step in range(1000):
        entries.now += 0.02
        entries.cut = cut if 200 <= step < 550 else set()
        if step % 5 == 0:
            entries.tell()
        wait_s = rng.choice(entries.nodes).take(CUSTOMER, 10.0, entries.now)
        refused += step >= 550 and wait_s > 0
    assert refused == 0


def started_among(totals):
    """Return an entry that began alone and then heard others' totals."""
    node = SharedAllowance(started_ms=0)
    node.set_known_entries(1 + len(totals))
    node.adopt((CUSTOMER,), 0.0)
    for number, total in enumerate(totals):
        use = CustomerUse(customer=CUSTOMER.name, total=total)
        node.heard(str(number), UseReport(started_ms=number, uses=(use,)), 0.05)
    return node


def test_after_all_entries_began_anew_what_grew_meanwhile_is_there():
    # Failing first: when all processes of a day had been killed, 47 requests
    # that had waited for their entries were refused as beyond the allowance,
    # by copies that held a ninth of it (Ankobra, trouble-2).
    node = started_among([0] * 6)
    assert node.take(CUSTOMER, 0.3 * CUSTOMER.rate_per_s, 0.06) == 0.0
    node = started_among([40] * 6)
    assert node.take(CUSTOMER, 0.3 * CUSTOMER.rate_per_s, 0.06) > 0.0


def test_an_entry_that_began_alone_adds_nothing_to_what_is_left():
    node = started_among([30_000] * 6)
    assert node.take(CUSTOMER, 0.3 * CUSTOMER.rate_per_s, 0.06) > 0.0


def test_what_grew_while_entries_were_gone_is_counted_once():
    node = started_among([0] * 6)
    amount = 0.2 * CUSTOMER.rate_per_s
    taken = sum(amount for _ in range(20) if not node.take(CUSTOMER, amount, 0.06))
    assert taken <= RESTART_S * CUSTOMER.rate_per_s


def test_what_did_not_run_is_given_back():
    node = SharedAllowance(started_ms=1)
    node.adopt((CUSTOMER,), 0.0)
    assert node.take(CUSTOMER, 1000.0, 0.0) == 0
    assert node.take(CUSTOMER, 500.0, 0.0) == pytest.approx(0.5)
    node.give_back(CUSTOMER, 1000.0)
    assert node.take(CUSTOMER, 500.0, 0.0) == 0


def test_a_new_configuration_does_not_refill():
    node = SharedAllowance(started_ms=1)
    node.adopt((CUSTOMER,), 0.0)
    node.take(CUSTOMER, 1000.0, 0.0)
    node.adopt((CUSTOMER,), 0.0)
    assert node.take(CUSTOMER, 100.0, 0.0) > 0


def test_a_customer_without_a_rate_has_no_limit():
    free = CustomerAccount(name='f', keys=())
    node = SharedAllowance(started_ms=1)
    assert node.take(free, 1e9, 0.0) == 0


class ExactBucket:
    """One bucket in one place: what an allowance lets through."""

    def __init__(self):
        self.level = CUSTOMER.burst
        self.at = 0.0

    def take(self, cost, now):
        gained = (now - self.at) * CUSTOMER.rate_per_s
        self.level = min(CUSTOMER.burst, self.level + gained)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


def refused_within_allowance(overage, seed):
    """Offer 1.1 times the rate; return the part refused that an exact bucket allows."""
    entries = Entries(7, overage)
    rng = random.Random(seed)
    exact = ExactBucket()
    allowed = refused = 0
    for step in range(2000):
        entries.now += 0.01
        if step % 10 == 0:
            entries.tell()
        for _ in range(2):
            cost = rng.choice((2.0, 4.0, 10.5))
            passes = not rng.choice(entries.nodes).take(CUSTOMER, cost, entries.now)
            if passes:
                entries.taken.append((entries.now, cost))
            if exact.take(cost, entries.now):
                allowed += 1
                refused += not passes
    limit = (CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst) * 1.1
    assert entries.most_in_a_window() < limit
    return refused / allowed


@pytest.mark.parametrize('seed', range(3))
def test_little_is_refused_that_one_bucket_would_let_through(seed):
    # Failing first: 3 to 4 in 100, with copies that never go beyond the rate.
    assert refused_within_allowance(0.1, seed) < 0.01
