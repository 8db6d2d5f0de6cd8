"""Engines fail for seconds; each entry alone notices late."""

from __future__ import annotations

import random

import pytest

from pistachiopath.engine_state.avoidance import considered, weights
from pistachiopath.engine_state.failure_share import FailureShare
from pistachiopath.engine_state.state import ACTIVE_S
from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.watch import KnownLoad
from pistachiopath.messages.grants import GateLoad, ReleasePlace
from pistachiopath.routing.placement import Candidate, Need, Placement
from tests.test_directory.records import record
from tests.test_grants.asks import ask

URGENT = Need(tier=0, prompt_tokens=1000, output_tokens=50, is_final_urgent=True)


def run(gate, name, now, *, ok=True, is_failure=False, switch=True):
    gate.ask('e', ask(name, is_final_urgent=switch, slots=8), now)
    body = ReleasePlace(request=name, first_ms=30, ok=ok, is_failure=is_failure)
    gate.release('e', body, now + 0.01)


def candidate(name, failed_per_1000, running=0):
    load = GateLoad(
        slots=4,
        running=running,
        waiting=(),
        free_in_ms=0,
        ms_per_1000_prompt_tokens=30,
        ms_per_1000_output_tokens=1000,
        failed_per_1000=failed_per_1000,
    )
    return Candidate(
        record=record(replica=name, address=f'10.0.0.{ord(name[-1])}:80'),
        load=KnownLoad(load=load, received_at=9.9),
        is_silent=False,
    )


def chosen(candidates, need=URGENT, number=2000):
    placement = Placement(zone='a', rng=random.Random(3))
    names = [
        placement.choose(candidates, need, 10.0).record.replica for _ in range(number)
    ]
    return {c.record.replica: names.count(c.record.replica) for c in candidates}


def test_the_share_of_failures_of_all_entries_is_reported():
    gate = GrantGate()
    for number in range(40):
        run(gate, f'r{number}', 0.1 * number, ok=number % 2 == 0, is_failure=number % 2)
    assert 300 <= gate.load(4.0).failed_per_1000 <= 500


def test_a_run_that_its_caller_abandoned_is_not_a_failure():
    gate = GrantGate()
    for number in range(40):
        run(gate, f'r{number}', 0.1 * number, ok=False)
    assert gate.load(4.0).failed_per_1000 == 0


def test_runs_that_callers_abandoned_do_not_hide_failures():
    gate = GrantGate()
    for number in range(80):
        run(gate, f'r{number}', 0.05 * number, ok=False, is_failure=number % 4 == 0)
    assert gate.load(4.0).failed_per_1000 > 500


def test_without_the_switch_nothing_is_reported():
    gate = GrantGate()
    for number in range(40):
        run(gate, f'r{number}', 0.01 * number, ok=False, is_failure=True, switch=False)
    run(gate, 'urgent', 0.5)
    assert gate.load(0.6).failed_per_1000 == 0
    run(gate, 'failed', 0.6, ok=False, is_failure=True)
    assert gate.load(0.7).failed_per_1000 > 0
    assert gate.load(0.7 + ACTIVE_S).failed_per_1000 == 0


def test_one_failure_among_few_runs_says_little():
    share = FailureShare()
    share.record(is_failure=True, now=1.0)
    assert share.value(1.0) == pytest.approx(0.2)


def test_an_engine_without_runs_counts_as_sound_again():
    # It gets no requests otherwise that could show that it is.
    share = FailureShare()
    for number in range(50):
        share.record(is_failure=True, now=1.0 + number / 100)
    assert share.value(1.5) > 0.85
    assert share.value(9.5) < 0.05


def test_engines_that_fail_more_often_than_others_get_less_in_proportion():
    number = chosen([candidate('r1', 0), candidate('r2', 200), candidate('r3', 450)])
    assert number['r1'] > number['r2'] > number['r3'] > 0
    assert number['r3'] < 0.1 * sum(number.values())


def test_engines_that_all_fail_alike_are_used_alike():
    number = chosen([candidate(f'r{n}', 450) for n in range(4)])
    assert min(number.values()) > 400


def test_most_engines_fail_and_the_sound_ones_get_most():
    # With the median as the measure, none of six in ten would be avoided.
    candidates = [candidate(f'r{n}', 400 if n < 6 else 0) for n in range(10)]
    number = chosen(candidates)
    assert sum(number[f'r{n}'] for n in range(6, 10)) > 0.75 * sum(number.values())


def test_never_are_all_engines_avoided():
    rng = random.Random(1)
    for _ in range(300):
        shares = [rng.choice((None, 0.0, 0.3, 1.0)) for _ in range(rng.randint(1, 6))]
        assert considered(list(shares), shares, rng)
        assert max(weights(shares)) == 1.0


def test_without_the_switch_an_entry_places_as_before():
    candidates = [candidate('r1', 0), candidate('r2', 900)]
    number = chosen(candidates, Need(tier=0, prompt_tokens=1000, output_tokens=50))
    assert min(number.values()) > 800


def test_engines_without_a_recent_load_are_not_avoided():
    unknown = Candidate(
        record=record(replica='r9', address='10.0.0.9:80'),
        load=None,
        is_silent=False,
        ungated_places=1,
    )
    assert unknown.failure_share is None
    assert weights([None, 0.0, 0.5])[0] == 1.0
