from __future__ import annotations

from pistachiopath.grants.watch import (
    ANSWER_S,
    FRESH_S,
    LOADS_PER_S,
    MAX_WATCHED,
    USABLE_S,
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


def test_a_gate_is_awaited_before_it_was_watched_and_a_while_after():
    watch = LoadWatch()
    assert watch.is_awaited(GATE, 10.0)
    assert len(watch.tick({GATE: 5}, 10.0)) == 1
    assert watch.is_awaited(GATE, 10.0 + ANSWER_S - 0.01)
    assert not watch.is_awaited(GATE, 10.0 + ANSWER_S)


def test_a_gate_that_answered_or_was_lost_is_awaited_no_more():
    watch = LoadWatch()
    watch.tick({GATE: 5}, 10.0)
    watch.heard(GATE, LOAD, 10.01)
    assert watch.get(GATE, 10.02).load == LOAD
    assert watch.get(GATE, 10.01 + FRESH_S) is None
    assert not watch.is_awaited(GATE, 10.01 + FRESH_S)
    watch.lost(GATE)
    watch.tick({GATE: 5}, 13.0)
    assert not watch.is_awaited(GATE, 13.0)


def test_a_gate_that_comes_back_is_awaited_like_a_new_one():
    watch = LoadWatch()
    watch.tick({GATE: 5}, 10.0)
    watch.lost(GATE)
    watch.tick({}, 11.0)
    assert watch.is_awaited(GATE, 12.0)


def gates(number):
    return {f'10.0.0.{n}:7000': 5 for n in range(number)}


def test_what_is_watched_does_not_grow_with_the_number_of_gates():
    # Failing first: every entry watched every gate, which told it its load up to
    # 33 times a second.
    for number in (9, 59, 300):
        watch = LoadWatch(own_address='e1')
        effects = watch.tick(gates(number), 10.0)
        assert len(effects) <= MAX_WATCHED
        told_per_s = sum(1000 / effect.body.period_ms for effect in effects)
        assert told_per_s <= LOADS_PER_S * 1.1


def test_entries_spread_over_the_gates():
    watched = {
        effect.to
        for number in range(70)
        for effect in LoadWatch(own_address=f'e{number}').tick(gates(59), 10.0)
    }
    assert len(watched) == 59


def unwatched():
    watch = LoadWatch(own_address='e1')
    known = {e.to for e in watch.tick(gates(30), 10.0)}
    return watch, min(set(gates(30)) - known)


def test_a_gate_that_is_not_watched_is_known_a_while_after_its_word():
    watch, gate = unwatched()
    assert watch.get(gate, 10.1) is None
    assert watch.is_awaited(gate, 100.0)
    watch.heard(gate, LOAD, 10.1)
    assert watch.get(gate, 10.2).load == LOAD
    assert watch.get(gate, 10.1 + USABLE_S) is None
    assert watch.is_awaited(gate, 100.0)


def test_a_lost_gate_that_was_not_watched_is_asked_until_it_is_heard():
    watch, gate = unwatched()
    watch.lost(gate)
    assert not watch.is_awaited(gate, 10.1)
    assert gate in {e.to for e in watch.tick(gates(30), 10.2)}
    watch.heard(gate, LOAD, 10.3)
    assert watch.is_awaited(gate, 100.0)
    assert gate not in {e.to for e in watch.tick(gates(30), 12.0)}
