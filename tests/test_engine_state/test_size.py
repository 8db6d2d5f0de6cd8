"""The cost of an engine depends on the size of a request and the runs beside it."""

from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.engine_state.usual_output import MAX_FACTOR, MIN_RUNS, UsualOutput
from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.watch import KnownLoad
from pistachiopath.messages.grants import GateLoad
from pistachiopath.routing.placement import Candidate, Need, Placement
from tests.test_directory.records import record
from tests.test_grants.asks import ask, denied, release

NOW = 10.0


def candidate(name, *, running=0, prompt=20, output=4000, slots=8):
    load = GateLoad(
        slots=slots,
        running=running,
        waiting=(),
        free_in_ms=0,
        ms_per_1000_prompt_tokens=prompt,
        ms_per_1000_output_tokens=output,
    )
    return Candidate(
        record=record(replica=name, address=f'10.0.0.{name[-1]}:80'),
        load=KnownLoad(load=load, received_at=NOW),
        is_silent=False,
    )


def need(prompt, output=50, switch=True):
    return Need(
        tier=0, prompt_tokens=prompt, output_tokens=output, is_final_urgent=switch
    )


def chosen(candidates, request):
    placement = Placement(zone='a', rng=random.Random(1))
    return {
        placement.choose(candidates, request, NOW).record.replica for _ in range(200)
    }


def cost(found, request):
    placement = Placement(zone='a', rng=random.Random(1))
    return placement.cost(found, request, 0, NOW)


def test_a_long_prompt_goes_to_the_fast_engine_and_a_short_one_to_any():
    engines = [candidate('r1', prompt=12), candidate('r2', prompt=30)]
    assert chosen(engines, need(10_000)) == {'r1'}
    assert chosen(engines, need(500)) == {'r1', 'r2'}


def test_a_long_prompt_goes_where_it_delays_fewer_runs():
    # The prompt is read in between, while all runs of the engine wait.
    engines = [candidate('r1', running=0), candidate('r2', running=7)]
    assert chosen(engines, need(10_000)) == {'r1'}
    assert chosen(engines, need(500)) == {'r1', 'r2'}


def test_a_long_output_prefers_the_engine_that_is_done_sooner():
    engines = [candidate('r1', output=4000), candidate('r2', output=7000)]
    assert chosen(engines, need(100, output=400)) == {'r1'}
    assert chosen(engines, need(100, output=10)) == {'r1', 'r2'}


@pytest.mark.parametrize('running', [0, 3, 7])
def test_without_the_switch_the_runs_beside_do_not_count(running):
    request = need(10_000, switch=False)
    assert cost(candidate('r1', running=running), request) == cost(
        candidate('r1'), request
    )


def test_the_delay_of_runs_beside_is_at_most_that_of_a_full_engine():
    request = need(10_000)
    full = candidate('r1', running=8)
    over = attrs.evolve(full.load.load, running=800)
    odd = attrs.evolve(full, load=KnownLoad(load=over, received_at=NOW))
    assert cost(odd, request) == cost(full, request)


def run(gate, name, at, tier=1, switch=True, output=50):
    sizes = {'output_tokens': output, 'slots': 4, 'is_final_urgent': switch}
    gate.ask('e', ask(name, tier=tier, **sizes), at)
    gate.release('e', release(name, first_ms=30), at + 0.08)


@pytest.mark.parametrize('switch', [True, False])
def test_a_maximum_that_is_far_off_does_not_deny_requests_behind_it(switch):
    # Without the bound, a caller that states 100,000 tokens has others refused.
    gate = GrantGate()
    for number in range(30):
        run(gate, f'r{number}', 0.1 * number, switch=switch)
    sizes = {'slots': 4, 'is_final_urgent': switch}
    for number in range(4):
        gate.ask('e', ask(f'held{number}', **sizes), 4.0)
    huge = ask('huge', output_tokens=100_000, deadline_ms=10**9, **sizes)
    gate.ask('e', huge, 4.0)
    effects = gate.ask('e', ask('next', **sizes), 4.0)
    assert denied(effects) == ([] if switch else ['next'])


def test_outputs_of_a_few_times_the_usual_one_are_believed():
    usual = UsualOutput()
    assert usual.expected(1, 10_000) == 10_000
    for _ in range(MIN_RUNS):
        usual.record(1, 100.0)
    assert usual.expected(1, 50) == 50
    assert usual.expected(1, 300) == 300
    assert usual.expected(1, 10_000) == MAX_FACTOR * 100
    # Tiers differ in their outputs.
    assert usual.expected(2, 10_000) == 10_000


def test_a_maximum_that_is_far_off_counts_in_full_for_the_memory():
    gate = GrantGate()
    for number in range(30):
        run(gate, f'r{number}', 0.1 * number)
    sizes = {'slots': 4, 'is_final_urgent': True, 'memory_tokens': 10_000}
    gate.ask('e', ask('a', output_tokens=7500, **sizes), 4.0)
    gate.ask('e', ask('b', output_tokens=7500, **sizes), 4.0)
    assert (gate.running, gate.waiting) == (1, 1)
