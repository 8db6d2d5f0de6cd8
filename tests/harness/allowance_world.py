"""Entries and the control nodes that lend them allowances, in virtual time."""

from __future__ import annotations

import math

from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.admission.leased_allowance import LeasedAllowance
from pistachiopath.document.lending import Lending
from pistachiopath.messages.allowance import AllowanceLeases, Borrow
from pistachiopath.quarantine.crash_watch import CrashWatch
from pistachiopath.relay.lender_link import LenderLink
from pistachiopath.routes.customer_account import CustomerAccount
from pistachiopath.transport.codec import encode_message

CUSTOMER = CustomerAccount(
    name='c', keys=('k',), rate_per_s=1000.0, burst=1000.0, counts_tokens=True
)
WINDOW_S = 8.0
ALLOWED = CUSTOMER.rate_per_s * WINDOW_S + CUSTOMER.burst
STEP_S = 0.02
DELAY_S = 0.02
TICK_S = 0.05
LENDER_TIMEOUT_S = 1.2


class EntryNode:
    """An entry that reports its use to one control node within reach."""

    def __init__(self, world, number, started_ms):
        self.world = world
        self.name = f'e{number}'
        self.allowance = LeasedAllowance(started_ms=started_ms)
        self.allowance.set_known_entries(world.entry_count)
        self.allowance.adopt(world.customers, world.now)
        self.home = world.home(number)
        self.last_contact = {}
        self.link = LenderLink(
            subscriber=self,
            allowance=self.allowance,
            send=lambda to, call, body: world.send(self.name, to, body),
            session=started_ms,
        )

    def main(self, now):
        """Return the control node to report to, or '' if none is in contact.

        Stands in for `Subscriber.main`.
        """
        for name in (self.home, *sorted(self.world.lenders)):
            is_reachable = not self.world.is_cut(self.name, name)
            if name in self.world.lenders and is_reachable:
                self.last_contact[name] = now
            if now - self.last_contact.get(name, -LENDER_TIMEOUT_S) < LENDER_TIMEOUT_S:
                return name
        return ''

    def take(self, cost):
        """Admit a request if its cost is allowed; return whether it was admitted."""
        wait_s = self.allowance.take(CUSTOMER, cost, self.world.now)
        if wait_s:
            wait_s = self.world.borrow(self, cost)
        if not wait_s:
            self.world.admitted.append((self.world.now, cost))
        return not wait_s


class AllowanceWorld:
    """Delivers messages after a delay and drops those on cut connections.

    `cut_nodes` holds isolated nodes and `cut_links` pairs of nodes.  `sent`
    counts messages and bytes by sender, `admitted` holds times and costs.
    """

    def __init__(
        self, entries, *, lenders=3, overage=0.0, slack=0.0, customers=(CUSTOMER,)
    ):
        self.now = 0.0
        self.entry_count = entries
        self.customers = customers
        self.overage = overage
        self.slack = slack
        self.cut_nodes = set()
        self.cut_links = set()
        self.admitted = []
        self.sent = {}
        self._in_transit = []
        self._next_tick_at = 0.0
        self._start_count = 0
        self.lenders = {}
        for number in range(lenders):
            self.start_lender(f'c{number}')
        self.nodes = [self.new_entry(n) for n in range(entries)]
        self.advance(2.0)

    def home(self, number):
        return f'c{number % max(1, len(self.lenders))}'

    def new_entry(self, number):
        self._start_count += 1
        return EntryNode(self, number, 1000 * self._start_count)

    def start_lender(self, name):
        self._start_count += 1
        lender = AllowanceLender(
            session=self._start_count, overage=self.overage, slack_tokens=self.slack
        )
        lender.set_known_entries(self.entry_count)
        lender.adopt(self.customers, self.now)
        self.lenders[name] = Lending(
            lender=lender,
            crashes=CrashWatch(),
            controls=lambda: tuple(c for c in self.lenders if c != name),
        )

    def stop_lender(self, name):
        del self.lenders[name]
        for node in self.nodes:
            node.last_contact.pop(name, None)
            node.link.handle_lost(name)

    def is_cut(self, sender, to):
        return (
            bool({sender, to} & self.cut_nodes)
            or frozenset((sender, to)) in self.cut_links
        )

    def send(self, sender, to, body):
        messages, size = self.sent.get(sender, (0, 0))
        self.sent[sender] = (messages + 1, size + len(encode_message(body)))
        if not self.is_cut(sender, to):
            self._in_transit.append((self.now + DELAY_S, sender, to, body))

    def borrow(self, node, cost):
        """Borrow from the lender that an entry reports to, without a delay."""
        name = node.main(self.now)
        if name not in self.lenders or self.is_cut(node.name, name):
            return math.inf
        body = Borrow(customer=CUSTOMER.name, cost=int(cost))
        answer = self.lenders[name].borrow(node.name, 1, body, self.now).body
        return 0.0 if answer.is_lent else 1.0

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.now += STEP_S
        due = [m for m in self._in_transit if m[0] <= self.now]
        self._in_transit = [m for m in self._in_transit if m[0] > self.now]
        for _, sender, to, body in due:
            if not self.is_cut(sender, to):
                self._deliver(sender, to, body)
        if self.now >= self._next_tick_at:
            self._next_tick_at += TICK_S
            for node in self.nodes:
                node.link.tick(self.now)
            for name, lending in list(self.lenders.items()):
                self._carry_out(name, lending.tick(self.now))

    def _deliver(self, sender, to, body):
        if to in self.lenders:
            self._carry_out(to, self.lenders[to].on_use_report(sender, body, self.now))
            return
        for node in self.nodes:
            if node.name == to and isinstance(body, AllowanceLeases):
                node.link.handle_leases(sender, body, self.now)

    def _carry_out(self, sender, effects):
        for effect in effects:
            self.send(sender, effect.to, effect.body)

    def overload(self, seconds, rng, cost=50.0, offers=20):
        """Offer far more than the allowance at every entry."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
            for node in self.nodes:
                for _ in range(offers):
                    if rng.random() < 0.3:
                        node.take(cost)

    def max_in_window(self):
        """Return the highest cost admitted in any window of `WINDOW_S`."""
        largest = total = 0.0
        first = 0
        for at, cost in self.admitted:
            total += cost
            while self.admitted[first][0] <= at - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            largest = max(largest, total)
        return largest
