from __future__ import annotations

import math
import time

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.admission.leased_allowance import LeasedAllowance
from pistachiopath.messages.allowance import (
    AllowanceLease,
    AllowanceLeases,
    Borrow,
    Borrowed,
    UseReport,
)
from pistachiopath.messages.quarantine import CrashMarks
from pistachiopath.relay import lender_link
from pistachiopath.relay.lender_link import (
    BORROW_TIMEOUT_S,
    EMPTY_BACKOFF_S,
    LenderLink,
)
from pistachiopath.routes.customer_account import CustomerAccount

CUSTOMER = CustomerAccount(name='c', keys=(), rate_per_s=100.0, burst=100.0)


class Entry:
    """An entry whose control node answers borrow requests with `answer`."""

    def __init__(self, answer=None, main='c1'):
        self.answer = answer
        self.lender = main
        self.sent = []
        self.allowance = LeasedAllowance(started_ms=1)
        self.allowance.adopt((CUSTOMER,), 0.0)
        self.link = LenderLink(
            subscriber=self, allowance=self.allowance, send=self._send, session=1
        )
        self.link.tick(time.monotonic())

    def main(self, now):
        return self.lender

    def _send(self, to, call, body):
        self.sent.append((to, body))
        if isinstance(body, Borrow) and self.answer is not None:
            gevent.spawn(self.link.handle_borrowed, call, self.answer)

    def reports(self):
        return [(to, b) for to, b in self.sent if isinstance(b, UseReport)]

    def count_borrows(self):
        return sum(isinstance(b, Borrow) for _, b in self.sent)


def test_a_cost_is_borrowed_in_one_round_trip():
    entry = Entry(Borrowed(is_lent=True))
    assert entry.link.borrow('c', 30.0) == 0.0
    assert entry.sent[-1] == ('c1', Borrow(customer='c', cost=30))


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def test_a_lender_that_has_nothing_left_is_not_asked_by_every_request(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(lender_link, 'time', clock)
    entry = Entry(Borrowed(is_lent=False, retry_after_ms=700))
    assert entry.link.borrow('c', 30.0) == pytest.approx(0.7)
    clock.now += EMPTY_BACKOFF_S / 2
    assert entry.link.borrow('c', 30.0) == pytest.approx(EMPTY_BACKOFF_S / 2)
    assert entry.count_borrows() == 1
    clock.now += EMPTY_BACKOFF_S
    entry.link.borrow('c', 30.0)
    assert entry.count_borrows() == 2


def test_a_caller_does_not_wait_for_a_lender_that_does_not_answer():
    entry = Entry(answer=None)
    waiting = gevent.spawn(entry.link.borrow, 'c', 30.0)
    assert waiting.get(timeout=50 * BORROW_TIMEOUT_S) == math.inf
    # An answer after the timeout is ignored.
    entry.link.handle_borrowed(1, Borrowed(is_lent=True))


def test_a_lender_is_not_taken_for_silent_because_this_process_was_paused():
    entry = Entry(answer=None)
    here, there = gsocket.socketpair()

    def read_answer():
        here.recv(1)
        entry.link.handle_borrowed(1, Borrowed(is_lent=True))

    gevent.spawn(read_answer)
    waiting = gevent.spawn(entry.link.borrow, 'c', 30.0)
    gevent.sleep(0)
    there.send(b'x')
    time.sleep(2 * BORROW_TIMEOUT_S)
    assert waiting.get(timeout=5) == 0.0


def test_without_a_control_node_nothing_can_be_borrowed():
    entry = Entry(Borrowed(is_lent=True), main='')
    assert entry.link.borrow('c', 30.0) == math.inf
    assert entry.sent == []


def test_a_new_lender_gets_a_new_session():
    entry = Entry()
    entry.allowance.take(CUSTOMER, 10.0, time.monotonic())
    entry.lender = 'c2'
    entry.link.tick(time.monotonic())
    (first, first_report), (second, second_report) = entry.reports()
    assert (first, second) == ('c1', 'c2')
    assert first_report.begins
    assert second_report.begins
    assert second_report.session > first_report.session


def test_leases_of_a_former_lender_are_ignored():
    entry = Entry()
    entry.lender = 'c2'
    now = time.monotonic()
    entry.link.tick(now)
    generous = AllowanceLease(customer='c', rate_per_s=10**6, burst=10**6, level=10**6)
    entry.link.handle_leases('c1', AllowanceLeases(leases=(generous,)), now)
    while not entry.allowance.take(CUSTOMER, 10.0, now):
        pass
    assert entry.allowance.report().uses[0].total <= CUSTOMER.burst


def test_messages_for_other_entries_are_sent_to_the_lender():
    entry = Entry()
    entry.link.broadcast(CrashMarks())
    assert entry.sent[-1] == ('c1', CrashMarks())
