from __future__ import annotations

import logging
import random

import pytest

from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.gate_log import GateLog
from pistachiopath.grants.place_queue import PlaceQueue
from pistachiopath.messages.grants import Denied
from pistachiopath.shares import capacity_shares
from pistachiopath.shares.capacity_shares import CapacityShares
from pistachiopath.shares.decayed_sums import decay
from pistachiopath.telemetry.metrics import Metrics
from tests.test_grants.asks import ask, denied, granted, release


def final(request, **changes):
    """Return an ask with the switch, of an engine with one place."""
    return ask(request, **{'slots': 1, 'is_final_urgent': True} | changes)


def drain(gate, running, now):
    """Return the order in which the waiting requests are granted."""
    order = []
    while running:
        names = granted(gate.release('e', release(running), now))
        running = names[0] if names else ''
        order += names
    return order


def work(request, work_ms, **changes):
    """Return an ask with the switch, for a run of a known time."""
    return final(request, prompt_tokens=0, output_tokens=work_ms, **changes)


def test_a_customer_above_its_share_waits_behind_those_below():
    # Guards against a burst that pushes others out, also with a better customer tier.
    gate = GrantGate()
    gate.ask('e', work('running', 800, customer='big'), 0.0)
    for number in range(4):
        big = work(f'big{number}', 800, customer='big', customer_tier=0)
        gate.ask('e', big, 0.0)
    for number in range(2):
        small = work(f'small{number}', 300, customer=f's{number}', customer_tier=1)
        gate.ask('e', small, 0.1)
    order = drain(gate, 'running', 0.1)
    assert set(order[:2]) == {'small0', 'small1'}


def test_without_a_shortage_the_order_is_that_of_other_services():
    gate, usual = GrantGate(), GrantGate()
    for each, is_final_urgent in ((gate, True), (usual, False)):
        for number, customer in enumerate('abbab'):
            changes = {'customer': customer, 'is_final_urgent': is_final_urgent}
            each.ask('e', work(f'r{number}', 20, **changes), 0.0)
    assert drain(gate, 'r0', 0.02) == drain(usual, 'r0', 0.02)


def test_a_caller_that_was_refused_before_goes_before_equally_late_ones():
    # Guards against refusing the same caller again and again.
    gate = GrantGate()
    gate.ask('e', work('running', 800), 0.0)
    gate.ask('e', work('in_time', 800, objective_ms=1500), 0.0)
    gate.ask('e', work('late', 800, objective_ms=0), 0.0)
    gate.ask('e', work('back', 800, objective_ms=0, spent_ms=700), 0.0)
    gate.ask('e', work('in_time2', 800, objective_ms=1500), 0.0)
    order = drain(gate, 'running', 0.1)
    assert order == ['in_time', 'in_time2', 'back', 'late']


def test_a_caller_that_was_refused_before_is_denied_only_if_it_cannot_be_served():
    gate = GrantGate()
    for number in range(30):
        urgent = work(f'u{number}', 100, tier=0, deadline_ms=60_000)
        gate.ask('e', urgent, 0.1 * number)
        gate.release('e', release(f'u{number}'), 0.1 * number + 0.09)
    gate.ask('e', work('running', 100, tier=0), 3.0)
    # Much more urgent work has come recently, but little is ahead now.
    for number in range(4):
        gate.ask('e', work(f'w{number}', 450, deadline_ms=60_000), 3.0)
    changes = {'deadline_ms': 2300, 'objective_ms': 0}
    assert denied(gate.ask('e', work('new', 100, **changes), 3.0)) == ['new']
    back = work('back', 100, spent_ms=900, **changes)
    assert denied(gate.ask('e', back, 3.0)) == []
    infeasible = work('infeasible', 100, spent_ms=900, objective_ms=0, deadline_ms=90)
    assert denied(gate.ask('e', infeasible, 3.0)) == ['infeasible']


def test_a_waiting_tier_gets_its_minimum_of_the_engine():
    # Guards against a tier that starves behind more urgent ones.
    gate = GrantGate()
    gate.ask('e', work('running', 100, tier=0), 0.0)
    for number in range(40):
        urgent = work(f'u{number}', 100, tier=0, objective_ms=5000, deadline_ms=90_000)
        gate.ask('e', urgent, 0.0)
    for number in range(4):
        tag = work(f'tag{number}', 1000, tier=2, objective_ms=5000, deadline_ms=90_000)
        gate.ask('e', tag, 0.0)
    order, running, now = [], 'running', 0.0
    for _ in range(20):
        now += 1.0 if running.startswith('tag') else 0.1
        running = granted(gate.release('e', release(running), now))[0]
        order.append(running)
    tag_ms = 1000 * sum(name.startswith('tag') for name in order)
    urgent_ms = 100 * sum(name.startswith('u') for name in order)
    assert 0.1 <= tag_ms / (tag_ms + urgent_ms) <= 0.7


def test_few_recent_grants_of_a_tier_do_not_deny_what_can_be_served():
    # Regression: the second request behind two others of a tier was denied if the
    # tier had had few requests recently.
    usual, shared = GrantGate(), GrantGate()
    for gate, is_final_urgent in ((usual, False), (shared, True)):
        switch = {'is_final_urgent': is_final_urgent}
        gate.ask('e', work('urgent', 50, tier=0, **switch), 0.0)
        gate.ask('e', work('old', 50, tier=1, **switch), 0.0)
        gate.ask('e', work('next', 50, tier=0, **switch), 9.0)
        for number in range(4):
            notice = work(f'n{number}', 50, tier=1, deadline_ms=2900, **switch)
            effects = gate.ask('e', notice, 9.0)
        assert denied(effects) == ([] if is_final_urgent else ['n3'])


def test_the_newest_request_of_the_customer_above_its_share_is_denied():
    gate = GrantGate()
    gate.ask('e', work('running', 500, customer='big'), 0.0)
    terms = {'deadline_ms': 3000, 'objective_ms': 1000}
    answers = [
        denied(gate.ask('e', work(f'big{n}', 500, customer='big', **terms), 0.0))
        for n in range(8)
    ]
    assert answers[:3] == [[], [], []]
    assert answers[-1] == ['big7']
    small = work('small', 500, customer='small', **terms)
    assert denied(gate.ask('e', small, 0.0)) == []


def test_denied_callers_are_told_to_come_back_one_after_another():
    # Guards against callers that return together and are refused together.
    gate = GrantGate()
    gate.ask('e', work('running', 1000), 0.0)
    gate.ask('e', work('waits', 1000), 0.0)
    told = []
    for number in range(20):
        effects = gate.ask('e', work(f'r{number}', 100, deadline_ms=900), 0.0)
        told += [e.body.retry_after_ms for e in effects if isinstance(e.body, Denied)]
    assert len(told) == 20
    assert min(told) == pytest.approx(2000, abs=100)
    assert len(set(told)) == 20
    assert max(told) <= 2000 + 2100


def test_a_gate_that_restarts_in_a_shortage_denies_no_more_than_it_has_to():
    # Guards against estimates without data: nothing is known of customers and tiers.
    gate = GrantGate()
    for number in range(6):
        for tier in range(3):
            effects = gate.ask(
                'e',
                final(f'r{tier}.{number}', tier=tier, slots=8, customer=f'c{tier}'),
                0.01 * number,
            )
            assert denied(effects) == []


def test_what_a_lost_entry_asked_for_does_not_count_as_backlog():
    gate = GrantGate()
    gate.ask('e', work('running', 400), 0.0)
    for number in range(5):
        gate.ask('gone', work(f'gone{number}', 900, deadline_ms=90_000), 0.0)
    late = work('late', 100, deadline_ms=2000)
    assert denied(gate.ask('e', late, 0.0)) == ['late']
    gate.entry_lost('gone', 0.1)
    assert denied(gate.ask('e', work('again', 100, deadline_ms=2000), 0.1)) == []


def test_runs_that_end_early_or_late_correct_what_a_customer_has_used():
    shares = CapacityShares(work_ms=lambda place: 1000.0, tiers=None)
    queue = PlaceQueue(work_ms=lambda place: 1000.0)
    place = queue.new_place('e', final('a', customer='x'), 0.0)
    place.granted_at = 0.0
    shares.granted(place, 0.0)
    shares.ended(place, 0.5)
    used = shares._used.by_customer(0.5)['x']
    assert used == pytest.approx(500 * decay(0.5))
    shares.ended(place, 0.6)
    assert shares._used.by_customer(0.5)['x'] == pytest.approx(used, rel=0.1)


def test_asks_without_the_switch_are_decided_as_before(monkeypatch):
    # Guards all earlier deployments: no decision of the part may be asked for.
    def fail(*args, **kwargs):
        raise AssertionError

    for name in ('grant_keys', 'wait_ms', 'retry_ms'):
        monkeypatch.setattr(CapacityShares, name, fail)
    monkeypatch.setattr(capacity_shares, 'is_short', fail)
    rng = random.Random(5)
    gate, now, held = GrantGate(), 0.0, []
    for number in range(2000):
        now += rng.random() * 0.02
        changes = {'tier': rng.randrange(3), 'customer': rng.choice('abc')}
        if rng.random() < 0.6:
            effects = gate.ask('e', ask(f'r{number}', spent_ms=9, **changes), now)
        elif held:
            effects = gate.release('e', release(held.pop(0)), now)
        else:
            effects = gate.tick(now)
        held += granted(effects)


def test_one_ask_without_the_switch_keeps_the_usual_order():
    gate = GrantGate()
    gate.ask('e', work('running', 800, customer='a'), 0.0)
    gate.ask('e', work('a', 800, customer='a', customer_tier=0), 0.0)
    gate.ask('e', work('b', 800, customer='b', customer_tier=1), 0.0)
    gate.ask('e', ask('old', slots=1, customer_tier=2), 0.0)
    assert drain(gate, 'running', 0.1) == ['a', 'b', 'old']


def test_a_shortage_is_logged_once_when_it_begins_and_once_when_it_ends(caplog):
    caplog.set_level(logging.INFO, logger='pistachiopath.grants.gate_log')
    metrics = Metrics()
    gate = GrantGate(log=GateLog(metrics=metrics))
    gate.ask('e', work('running', 900, deadline_ms=90_000), 0.0)
    for number in range(5):
        gate.ask('e', work(f'r{number}', 900, deadline_ms=90_000), 0.0)
    for step in range(20):
        gate.tick(0.05 * step)
    assert 'gate_is_short 1' in metrics.render()
    drain(gate, 'running', 1.0)
    for step in range(60):
        gate.tick(1.0 + 0.05 * step)
    lines = [r for r in caplog.records if r.msg == 'gate_shortage']
    assert [r.has_begun for r in lines] == [True, False]
    assert 'gate_is_short 0' in metrics.render()
    assert 'gate_shortages_total 1' in metrics.render()


def test_denials_name_the_customer_and_what_the_caller_spent(caplog):
    caplog.set_level(logging.INFO, logger='pistachiopath.grants.gate_log')
    metrics = Metrics()
    gate = GrantGate(log=GateLog(metrics=metrics))
    gate.ask('e', work('running', 900), 0.0)
    gate.ask('e', work('back', 100, deadline_ms=50, spent_ms=400), 0.0)
    line = next(r for r in caplog.records if r.msg == 'place_denied')
    assert (line.customer, line.spent_ms) == ('c', 400)
    assert 'gate_denied_returns_total{tier="1"} 1' in metrics.render()


def test_a_gate_that_stood_still_decides_by_what_holds_now():
    # Guards against a shortage that is assumed to go on after a pause of the process.
    gate = GrantGate()
    gate.ask('e', work('running', 900, customer='big'), 0.0)
    for number in range(4):
        gate.ask('e', work(f'r{number}', 900, customer='big'), 0.0)
    gate.end_standstill(20.0)
    effects = gate.tick(20.0)
    assert len(denied(effects)) == 4
    assert granted(gate.ask('e', work('a', 100, customer='big'), 20.0)) == ['a']
    assert denied(gate.ask('e', work('b', 100, customer='big'), 20.0)) == []
