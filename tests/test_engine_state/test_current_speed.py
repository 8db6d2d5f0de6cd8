"""An engine is slow for parts of a second; averages of completed runs miss that."""

from __future__ import annotations

import pytest

from pistachiopath.engine_state.current_speed import (
    MAX_WINDOW_S,
    MIN_BASELINE_WINDOWS,
    OutputSlowness,
    PromptSpeed,
)
from pistachiopath.engine_state.current_work import VALID_S, current_work
from pistachiopath.engine_state.report import EngineReport, RunProgress
from pistachiopath.engine_state.state import (
    MAX_ROUND_TRIP_S,
    MIN_TELL_INTERVAL_S,
    EngineState,
)
from pistachiopath.grants.gate import GrantGate
from pistachiopath.messages.grants import GateLoad, ReleasePlace, WatchLoad
from tests.test_grants.asks import ask, granted

USUAL_MS = 4.0
STEP_S = 0.15


def report(*runs):
    return EngineReport(
        runs=tuple(RunProgress(name=n, tokens=t, events=e) for n, t, e in runs)
    )


class Engine:
    """Two long runs whose tokens take `token_ms` each."""

    def __init__(self, slowness):
        self.slowness = slowness
        self.now = 10.0
        self.made = 10.0

    def step(self, token_ms=USUAL_MS, elapsed_s=STEP_S, names=('a', 'b')):
        self.now += elapsed_s
        self.made += elapsed_s * 1000 / token_ms
        tokens = int(self.made)
        runs = [(name, 500 + tokens, tokens // 6) for name in names]
        self.slowness.record(report(*runs), self.now)

    def warm_up(self):
        for _ in range(MIN_BASELINE_WINDOWS + 2):
            self.step()
        return self


def load(output=0, output_age_ms=0, prompt=0, prompt_age_ms=0):
    return GateLoad(
        slots=8,
        running=0,
        waiting=(),
        free_in_ms=0,
        ms_per_1000_prompt_tokens=20,
        ms_per_1000_output_tokens=4000,
        current_ms_per_1000_output_tokens=output,
        output_age_ms=output_age_ms,
        current_ms_per_1000_prompt_tokens=prompt,
        prompt_age_ms=prompt_age_ms,
    )


def test_a_slow_engine_shows_between_two_reports():
    engine = Engine(OutputSlowness()).warm_up()
    assert engine.slowness.current.value == pytest.approx(1.0, abs=0.1)
    engine.step(token_ms=2.5 * USUAL_MS)
    assert 2.0 < engine.slowness.current.value <= 2.5
    # It applies to the middle of the time between the reports.
    assert engine.slowness.current.age_ms(engine.now) == pytest.approx(75, abs=2)
    engine.step()
    assert engine.slowness.current.value < 1.0


def test_an_engine_that_stands_still_is_very_slow():
    engine = Engine(OutputSlowness()).warm_up()
    engine.step(token_ms=1e9)
    assert engine.slowness.current.value > 4


def test_nothing_is_measured_before_the_usual_speed_is_known():
    engine = Engine(OutputSlowness())
    for _ in range(MIN_BASELINE_WINDOWS):
        engine.step()
        assert engine.slowness.current is None


def test_an_engine_that_has_started_again_is_measured_by_its_new_runs():
    engine = Engine(OutputSlowness()).warm_up()
    before = engine.slowness.current
    engine.made = 0.0
    engine.step(names=('c',))
    assert engine.slowness.current is before
    engine.step(names=('c',))
    assert engine.slowness.current.value == pytest.approx(1.0, abs=0.1)


def test_a_run_of_the_same_name_that_lost_tokens_is_another_one():
    engine = Engine(OutputSlowness()).warm_up()
    before = engine.slowness.current
    engine.made = 6.0
    engine.step()
    assert engine.slowness.current is before


def test_reports_after_a_gap_or_a_standstill_say_nothing_about_the_present():
    engine = Engine(OutputSlowness()).warm_up()
    before = engine.slowness.current
    engine.step(token_ms=100.0, elapsed_s=MAX_WINDOW_S + 0.1)
    assert engine.slowness.current is before


def test_the_reading_of_a_prompt_is_not_taken_for_output():
    slowness = OutputSlowness()
    for number in range(10):
        now = 10.0 + STEP_S * number
        slowness.record(report(('a', 1000 * number, 0)), now)
    assert slowness.current is None


def test_a_report_that_took_long_is_not_used():
    state = EngineState()
    for number in range(20):
        now = 10.0 + STEP_S * number
        late = report(('a', 40 * number, 6 * number + 1))
        assert not state.record_report(late, now - MAX_ROUND_TRIP_S - 0.01, now)
    assert state._outputs.current is None


def test_prompts_that_were_read_together_count_by_their_tokens():
    speed = PromptSpeed()
    speed.record(2000, 100.0, at=1.0)
    speed.record(1000, 20.0, at=5.0)
    speed.record(3000, 100.0, at=5.1)
    speed.record(10, 50.0, at=5.1)
    assert speed.current.value == pytest.approx(0.03)
    assert speed.current.at == pytest.approx(5.05)


def test_a_current_speed_loses_its_weight_with_its_age():
    young, older = load(10_000, 50), load(10_000, 400)
    assert current_work(young, 0.0).output_ms > current_work(older, 0.0).output_ms > 4
    assert current_work(young, 0.1).slowness < current_work(young, 0.0).slowness
    assert current_work(young, VALID_S).output_ms == 4
    assert current_work(load(10_000, int(VALID_S * 1000)), 0.0).output_ms == 4


def test_without_measurements_the_averages_hold():
    work = current_work(load(), 0.0)
    assert (work.prompt_ms, work.output_ms, work.slowness) == (0.02, 4.0, 1.0)


def test_output_stands_in_for_prompts_whose_measurement_is_too_old():
    work = current_work(load(8000, 0, prompt=20, prompt_age_ms=5000), 0.0)
    assert work.prompt_ms == pytest.approx(0.04)
    work = current_work(load(8000, 0, prompt=30, prompt_age_ms=0), 0.0)
    assert work.prompt_ms == pytest.approx(0.03)


def test_one_odd_measurement_is_bounded():
    assert current_work(load(10_000_000), 0.0).slowness == 4.0
    assert current_work(load(1), 0.0).slowness == 0.5


class Gate:
    """A gate with long runs, and an entry that watches it."""

    def __init__(self, switch=True):
        self.gate = GrantGate()
        self.gate.watch('w', WatchLoad(slots=8, period_ms=750), 9.0)
        self.gate.ask('e', ask('a', is_final_urgent=switch, slots=8), 9.0)
        self.engine = Engine(self)
        self.told = []

    def record(self, engine_report, now):
        if self.gate.engine.record_report(engine_report, now - 0.01, now):
            self.told += [effect.to for effect in self.gate.tell_watchers(now)]


def test_watchers_are_told_at_once_when_an_engine_becomes_slow_and_sound_again():
    # A load that comes up to 0.75 s later is about another draw of the speeds.
    gate = Gate()
    gate.engine.warm_up()
    assert gate.told == []
    for token_ms in (USUAL_MS, 2.5 * USUAL_MS, 2.5 * USUAL_MS, USUAL_MS, USUAL_MS):
        gate.engine.step(token_ms)
    assert gate.told == ['w', 'w']
    sent = gate.gate.load(gate.engine.now)
    assert sent.current_ms_per_1000_output_tokens > 0
    assert sent.output_age_ms == pytest.approx(75, abs=2)


def test_measurements_that_scatter_do_not_flood_the_watchers():
    gate = Gate()
    gate.engine.warm_up()
    started_at = gate.engine.now
    for number in range(200):
        gate.engine.step(USUAL_MS * (1 if number % 2 else 3), elapsed_s=0.08)
    elapsed_s = gate.engine.now - started_at
    assert 2 <= len(gate.told) <= elapsed_s / MIN_TELL_INTERVAL_S + 1


def test_without_the_switch_a_load_has_no_measurements():
    gate = Gate(switch=False)
    gate.engine.warm_up().step(2.5 * USUAL_MS)
    body = ReleasePlace(request='a', first_ms=300, ok=True)
    gate.gate.release('e', body, gate.engine.now)
    sent = gate.gate.load(gate.engine.now)
    assert sent.current_ms_per_1000_output_tokens == 0
    assert sent.current_ms_per_1000_prompt_tokens == 0
    assert sent.output_age_ms == sent.prompt_age_ms == 0


def test_a_gate_that_has_just_started_counts_what_the_engine_holds():
    # It does not know the runs that it granted before, which may fill the memory.
    gate = GrantGate()
    sizes = {'is_final_urgent': True, 'memory_tokens': 10_000, 'slots': 8}
    gate.ask('e', ask('a', **sizes), 1.0)
    gate.engine.record_report(EngineReport(held_tokens=8500), 1.1, 1.1)
    assert granted(gate.ask('e', ask('b', **sizes), 1.2)) == []
    gate.engine.record_report(EngineReport(held_tokens=1000), 1.3, 1.3)
    assert granted(gate.tick(1.3)) == ['b']


def test_tokens_that_an_engine_keeps_do_not_block_it_for_ever():
    gate = GrantGate()
    sizes = {'is_final_urgent': True, 'memory_tokens': 10_000, 'slots': 8}
    gate.ask('e', ask('a', **sizes), 1.0)
    for step in range(200):
        now = 1.0 + 0.1 * step
        gate.engine.record_report(EngineReport(held_tokens=9500), now, now)
    assert granted(gate.ask('e', ask('b', **sizes), 21.0)) == ['b']
