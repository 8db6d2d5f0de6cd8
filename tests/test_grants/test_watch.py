from __future__ import annotations

from pistachiopath.grants.watch import (
    LOADS_PER_S,
    MAX_LOAD_AGE_S,
    MAX_WATCHED,
    REPLY_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    LoadWatch,
)
from pistachiopath.messages.grants import GateLoad

GATE = '10.0.0.1:7000'
LOAD = GateLoad(
    slots=5,
    running=1,
    waiting=(),
    free_in_ms=0,
    ms_per_1000_prompt_tokens=30,
    ms_per_1000_output_tokens=1000,
)


def test_a_gate_is_awaited_until_its_reply_is_overdue():
    watch = LoadWatch()
    assert watch.is_awaited(GATE, 10.0)
    assert len(watch.tick({GATE: 5}, 10.0)) == 1
    assert watch.is_awaited(GATE, 10.0 + REPLY_TIMEOUT_S - 0.01)
    assert not watch.is_awaited(GATE, 10.0 + REPLY_TIMEOUT_S)


def test_a_gate_that_fell_silent_or_was_lost_is_not_awaited():
    watch = LoadWatch()
    watch.tick({GATE: 5}, 10.0)
    watch.record_load(GATE, LOAD, 10.01)
    assert watch.get(GATE, 10.02).load == LOAD
    assert watch.get(GATE, 10.01 + SILENCE_TIMEOUT_S) is None
    assert not watch.is_awaited(GATE, 10.01 + SILENCE_TIMEOUT_S)
    watch.mark_lost(GATE)
    watch.tick({GATE: 5}, 13.0)
    assert not watch.is_awaited(GATE, 13.0)


def test_a_gate_that_was_removed_and_added_again_is_awaited_like_a_new_one():
    watch = LoadWatch()
    watch.tick({GATE: 5}, 10.0)
    watch.mark_lost(GATE)
    watch.tick({}, 11.0)
    assert watch.is_awaited(GATE, 12.0)


def test_a_gate_that_is_no_longer_watched_is_asked_for_places():
    # Regression: its next load stayed due, so the entry took it for unreachable
    # and served its engine by the entry's own few places.
    watch = LoadWatch(own_address='e1')
    few = dict(list(gates(30).items())[:MAX_WATCHED])
    for effect in watch.tick(few, 10.0, frozenset(few)):
        watch.record_load(effect.to, LOAD, 10.01)
    watched = {
        effect.to for effect in watch.tick(gates(30), 11.1, frozenset(gates(30)))
    }
    unwatched = set(few) - watched
    assert unwatched
    for gate in unwatched:
        assert watch.is_awaited(gate, 11.1 + 2 * SILENCE_TIMEOUT_S)


def test_a_lost_gate_that_is_no_longer_watched_stays_lost_until_it_is_heard():
    watch = LoadWatch(own_address='e1')
    few = dict(list(gates(30).items())[:MAX_WATCHED])
    watch.tick(few, 10.0, frozenset(few))
    for gate in few:
        watch.mark_lost(gate)
    watch.tick(gates(30), 11.0, frozenset(gates(30)))
    for gate in few:
        assert not watch.is_awaited(gate, 11.0)
        watch.record_load(gate, LOAD, 11.1)
        assert watch.is_awaited(gate, 11.2)


def gates(number):
    return {f'10.0.0.{n}:7000': 5 for n in range(number)}


def test_the_number_of_load_reports_does_not_grow_with_the_number_of_gates():
    # Regression: every entry watched every gate, and each gate sent it the load
    # up to 33 times a second.
    for number in (9, 59, 300):
        watch = LoadWatch(own_address='e1')
        effects = watch.tick(gates(number), 10.0)
        assert len(effects) <= MAX_WATCHED
        reports_per_s = sum(1000 / effect.body.period_ms for effect in effects)
        assert reports_per_s <= LOADS_PER_S * 1.1


def test_entries_spread_over_the_gates():
    watched = {
        effect.to
        for number in range(70)
        for effect in LoadWatch(own_address=f'e{number}').tick(gates(59), 10.0)
    }
    assert len(watched) == 59


def watch_and_unwatched_gate():
    watch = LoadWatch(own_address='e1')
    watched = {e.to for e in watch.tick(gates(30), 10.0)}
    return watch, min(set(gates(30)) - watched)


def test_the_load_of_an_unwatched_gate_is_known_until_it_is_too_old():
    watch, gate = watch_and_unwatched_gate()
    assert watch.get(gate, 10.1) is None
    assert watch.is_awaited(gate, 100.0)
    watch.record_load(gate, LOAD, 10.1)
    assert watch.get(gate, 10.2).load == LOAD
    assert watch.get(gate, 10.1 + MAX_LOAD_AGE_S) is None
    assert watch.is_awaited(gate, 100.0)


def test_a_lost_unwatched_gate_is_polled_until_it_replies():
    watch, gate = watch_and_unwatched_gate()
    watch.mark_lost(gate)
    assert not watch.is_awaited(gate, 10.1)
    assert gate in {e.to for e in watch.tick(gates(30), 10.2)}
    watch.record_load(gate, LOAD, 10.3)
    assert watch.is_awaited(gate, 100.0)
    assert gate not in {e.to for e in watch.tick(gates(30), 12.0)}
