from __future__ import annotations

import random

from pistachiopath.grants.gate import LOST_ENTRY_HOLD_S, GrantGate
from pistachiopath.grants.tiers import GRANTS_PER_TURN, RATE_DECAY_S

from .asks import ask, denied, granted, release


def test_grants_are_limited_to_the_slots_and_urgent_tiers_go_first():
    gate = GrantGate()
    assert granted(gate.ask('e', ask('a'), 0.0)) == ['a']
    assert granted(gate.ask('e', ask('b'), 0.0)) == ['b']
    assert granted(gate.ask('e', ask('tag', tier=2), 0.0)) == []
    assert granted(gate.ask('e', ask('report', tier=0), 0.1)) == []
    assert granted(gate.release('e', release('a'), 0.2)) == ['report']
    assert granted(gate.release('e', release('b'), 0.3)) == ['tag']


def test_a_repeated_ask_keeps_one_place():
    gate = GrantGate()
    gate.ask('e', ask('a'), 0.0)
    assert granted(gate.ask('e', ask('a'), 0.1)) == ['a']
    assert gate.running == 1
    gate.ask('e', ask('b'), 0.1)
    gate.ask('e', ask('c'), 0.1)
    gate.ask('e', ask('c'), 0.2)
    assert gate.waiting == 1


def test_a_late_request_ranks_below_the_next_tier_but_not_below_all():
    gate = GrantGate()
    for name in 'ab':
        gate.ask('e', ask(name), 0.0)
    gate.ask('e', ask('late', tier=0, objective_ms=100), 0.0)
    gate.ask('e', ask('tag', tier=2), 0.5)
    gate.ask('e', ask('notice', tier=1), 0.5)
    assert granted(gate.release('e', release('a'), 0.6)) == ['notice']
    assert granted(gate.release('e', release('b'), 0.7)) == ['late']
    assert granted(gate.release('e', release('notice'), 0.8)) == ['tag']


def test_with_few_slots_one_is_reserved_for_the_most_urgent_tier():
    gate = GrantGate()
    gate.ask('e', ask('report', tier=0, slots=5), 0.0)
    gate.ask('e', ask('notice', tier=1, slots=5), 0.0)
    for number in range(8):
        gate.ask('e', ask(f'tag{number}', tier=2, slots=5), 0.0)
    assert gate.running == 4
    assert granted(gate.ask('e', ask('late', tier=0, slots=5), 0.1)) == ['late']
    # Without recent requests of more urgent tiers, the requests of the third tier
    # (tags) may take all places.
    for name in ('report', 'notice', 'late'):
        gate.release('e', release(name), 0.2)
    gate.ask('e', ask('tag9', tier=2, slots=5), 20.0)
    assert gate.running == 5


def test_with_many_slots_the_third_tier_leaves_one_free():
    gate = GrantGate()
    gate.ask('e', ask('report', tier=0, slots=8), 0.0)
    for number in range(8):
        gate.ask('e', ask(f'notice{number}', tier=1, slots=8), 0.0)
    assert gate.running == 8
    gate = GrantGate()
    gate.ask('e', ask('report', tier=0, slots=8), 0.0)
    gate.ask('e', ask('notice', tier=1, slots=8), 0.0)
    for number in range(8):
        gate.ask('e', ask(f'tag{number}', tier=2, slots=8), 0.0)
    # Regression: the third tier left two places free.
    assert gate.running == 7


def test_wait_estimates_follow_the_recent_grant_rate_of_the_tier():
    gate = GrantGate()
    for number in range(4):
        gate.ask('e', ask(f'urgent{number}', tier=0, slots=2), 0.0)
    asked_at = RATE_DECAY_S
    for number in range(5):
        gate.ask('e', ask(f'tag{number}', tier=2, slots=2), asked_at)
    # No request of its tier was granted recently, so behind five others it is
    # expected to miss its deadline.
    effects = gate.ask('e', ask('tag5', tier=2, slots=2), asked_at + 0.1)
    assert denied(effects) == ['tag5']
    patient = ask('tag6', tier=2, slots=2, deadline_ms=60_000)
    assert denied(gate.ask('e', patient, asked_at + 0.1)) == []


def test_a_waiting_tier_gets_an_occasional_turn():
    gate = GrantGate()
    gate.ask('e', ask('u0', tier=0, slots=1), 0.0)
    gate.ask('e', ask('tag', tier=2, slots=1), 0.0)
    running = 'u0'
    for number in range(1, 40):
        gate.ask('e', ask(f'u{number}', tier=0, slots=1), 0.0)
        running = granted(gate.release('e', release(running), 0.01))[0]
        if running == 'tag':
            break
    assert running == 'tag'
    assert number > 5


def test_the_turn_of_a_tier_is_not_spent_on_a_late_request():
    gate = GrantGate()
    gate.ask('e', ask('u0', tier=0, slots=1), 0.0)
    gate.ask('e', ask('late', tier=2, slots=1, objective_ms=100), 0.0)
    running = 'u0'
    for number in range(1, GRANTS_PER_TURN + 1):
        gate.ask('e', ask(f'u{number}', tier=0, slots=1), 0.5)
        running = granted(gate.release('e', release(running), 0.5))[0]
    assert running == f'u{GRANTS_PER_TURN}'
    gate.ask('e', ask('urgent', tier=0, slots=1), 0.5)
    gate.ask('e', ask('in_time', tier=2, slots=1), 0.5)
    assert granted(gate.release('e', release(running), 0.6)) == ['in_time']


def test_a_request_that_cannot_be_served_in_time_is_denied_at_once():
    gate = GrantGate()
    for number in range(12):
        gate.ask('e', ask(f'n{number}'), 0.0)
    effects = gate.ask('e', ask('infeasible', deadline_ms=200), 0.0)
    assert denied(effects) == ['infeasible']
    assert effects[0].body.retry_after_ms >= 200


def test_a_waiting_request_is_denied_at_its_deadline():
    gate = GrantGate()
    for name in 'ab':
        gate.ask('e', ask(name), 0.0)
    gate.ask('e', ask('c', deadline_ms=500), 0.0)
    assert denied(gate.tick(0.4)) == []
    assert denied(gate.tick(0.5)) == ['c']


def test_a_run_holds_its_place_beyond_its_callers_patience():
    # Regression: the place of a long stream was freed when its caller's patience
    # for the first event ended, so engines got too many runs.
    gate = GrantGate()
    for name in ('a', 'b'):
        gate.ask('e', ask(name, patience_ms=2000, deadline_ms=15_000), 0.0)
    assert granted(gate.tick(5.0)) == []
    assert gate.running == 2
    assert granted(gate.ask('e', ask('c'), 5.0)) == []
    gate.tick(15.0)
    assert gate.running < 2


def test_a_long_stream_is_granted_if_its_first_event_is_in_time():
    # Regression: idle gates refused streams that run longer than callers wait for
    # the first event.
    gate = GrantGate()
    long = ask('long', output_tokens=8000, patience_ms=2000, deadline_ms=15_000)
    assert granted(gate.ask('e', long, 0.0)) == ['long']
    too_long = ask('longer', output_tokens=80_000, patience_ms=2000)
    assert denied(gate.ask('e', too_long, 0.0)) == ['longer']


def test_a_request_whose_first_event_would_be_too_late_is_denied_at_once():
    gate = GrantGate()
    for name in ('a', 'b'):
        gate.ask('e', ask(name, output_tokens=4000, deadline_ms=15_000), 0.0)
    waits = ask('waits', patience_ms=5000, deadline_ms=15_000)
    leaves = ask('leaves', patience_ms=1000, deadline_ms=15_000)
    assert denied(gate.ask('e', leaves, 0.0)) == ['leaves']
    assert denied(gate.ask('e', waits, 0.0)) == []
    assert denied(gate.tick(5.0)) == ['waits']


def test_an_infeasible_wait_is_denied_well_before_the_deadline():
    # Regression: requests that more urgent ones kept overtaking waited until their
    # deadline.
    gate = GrantGate()
    for name in ('a', 'b'):
        gate.ask('e', ask(name, tier=0, output_tokens=1500), 0.0)
    assert denied(gate.ask('e', ask('notice', deadline_ms=4000), 0.0)) == []
    for number in range(8):
        urgent = ask(f'r{number}', tier=0, output_tokens=1500, deadline_ms=30_000)
        gate.ask('e', urgent, 0.1)
    assert denied(gate.tick(0.4)) == ['notice']


def test_places_of_an_unreachable_entry_are_freed_after_a_delay():
    gate = GrantGate()
    gate.ask('gone', ask('a'), 0.0)
    gate.ask('gone', ask('b'), 0.0)
    gate.ask('e', ask('c'), 0.0)
    gate.entry_lost('gone', 0.1)
    assert granted(gate.tick(0.1 + LOST_ENTRY_HOLD_S - 0.1)) == []
    assert granted(gate.tick(0.1 + LOST_ENTRY_HOLD_S)) == ['c']


def test_within_a_tier_the_customer_tier_decides():
    gate = GrantGate()
    gate.ask('e', ask('a', slots=1), 0.0)
    gate.ask('e', ask('b', slots=1, customer_tier=1), 0.0)
    gate.ask('e', ask('c', slots=1, customer_tier=0), 0.0)
    gate.ask('e', ask('tag', slots=1, tier=2), 0.0)
    assert granted(gate.release('e', release('a'), 0.1)) == ['c']
    assert granted(gate.release('e', release('c'), 0.2)) == ['b']


def test_customers_share_a_tier_fairly():
    gate = GrantGate()
    gate.ask('e', ask('x', slots=1), 0.0)
    for number in range(5):
        gate.ask('e', ask(f'big{number}', customer='big', slots=1), 0.0)
    gate.ask('e', ask('small', customer='small', slots=1), 0.0)
    order = []
    running = 'x'
    while running:
        names = granted(gate.release('e', release(running), 0.1))
        running = names[0] if names else ''
        order.append(running)
    assert order.index('small') <= 1


def test_random_histories_never_exceed_the_places():
    rng = random.Random(11)
    gate = GrantGate()
    held, now = set(), 0.0
    for number in range(3000):
        now += rng.random() * 0.02
        if rng.random() < 0.5:
            name = f'r{number}'
            effects = gate.ask('e', ask(name, tier=rng.randrange(3), slots=3), now)
        elif held and rng.random() < 0.9:
            name = held.pop()
            effects = gate.release('e', release(name, ok=rng.random() < 0.8), now)
        else:
            effects = gate.tick(now)
        held |= set(granted(effects))
        held -= set(denied(effects))
        assert gate.running <= 3


def test_a_tier_without_recent_requests_does_not_look_starved():
    # Regression: on quiet days a tag was refused behind a single waiting tag.
    gate = GrantGate()
    gate.ask('e', ask('report', tier=0, slots=1), 0.0)
    gate.ask('e', ask('tag0', tier=2, slots=1), 0.0)
    assert denied(gate.ask('e', ask('tag1', tier=2, slots=1), 0.1)) == []


def test_a_lost_entry_keeps_the_places_that_it_names_in_time():
    gate = GrantGate()
    for name in 'ab':
        gate.ask('e', ask(name), 0.0)
    gate.entry_lost('e', 0.5)
    gate.keep('e', ('a', 'unknown'), 0.5 + LOST_ENTRY_HOLD_S / 2)
    gate.tick(0.6 + LOST_ENTRY_HOLD_S)
    assert gate.running == 1
    gate.keep('e', ('b',), 1.0 + LOST_ENTRY_HOLD_S)
    assert gate.running == 1
    gate.entry_lost('e', 3.0)
    gate.tick(3.0 + LOST_ENTRY_HOLD_S)
    assert gate.running == 0
