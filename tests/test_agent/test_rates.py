from __future__ import annotations

import pytest

from pistachiopath.agent.events import EventCounter
from pistachiopath.agent.rates import RateLearner
from pistachiopath.gate.run import Run
from pistachiopath.messages.dispatch import Work

CHUNKS = (11, 12, 13, 14)


def run_of(key, *, at, first, end=0.0, prompt_tokens=2048):
    return Run(
        key=key,
        binding=1,
        work=Work(path='/', model='m', prompt_tokens=prompt_tokens),
        deadline=at + 60.0,
        arrived_at=at,
        order=1,
        started_at=at,
        first_byte_at=first,
        ended_at=end,
    )


def learn(learner, run, tokens, chunks=()):
    learner.started(run, chunks)
    learner.ended(run, tokens)


def rate_of(learner, running=(), now=0.0):
    (rate,) = learner.rates(running, now)
    return rate.prefill, rate.decode


def test_rates_follow_finished_runs():
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    assert rate_of(learner) == (2048.0, 50.0)
    learn(learner, run_of(b'b', at=0.0, first=2.0, end=4.0), 200)
    assert rate_of(learner) == (2048.0 - 0.2 * 1024.0, 60.0)


def test_a_cached_prompt_says_nothing_about_prefill():
    # Failing first: 2048 tokens that were cached looked like 102,400 a second.
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100, CHUNKS)
    learn(learner, run_of(b'b', at=3.0, first=3.02, end=5.02), 100, CHUNKS)
    assert rate_of(learner)[0] == 2048.0


def test_a_paused_run_says_nothing():
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    paused = run_of(b'b', at=0.0, first=1.0, end=60.0)
    learner.started(paused, ())
    learn(learner, paused, 100)
    assert rate_of(learner) == (2048.0, 50.0)


def test_a_straggler_shows_before_its_runs_end():
    # Failing first: only runs that had ended counted.
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    slow = [run_of(key, at=10.0, first=11.0) for key in (b'b', b'c')]
    for run in slow:
        learner.started(run, ())
    running = [(run, 10) for run in slow]
    assert rate_of(learner, running, now=12.0) == (2048.0, 10.0)
    assert rate_of(learner, running[:0], now=12.0) == (2048.0, 50.0)


@pytest.mark.parametrize('tokens', [0, 7])
def test_a_short_answer_says_nothing_about_decode(tokens):
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=1.001), tokens)
    assert rate_of(learner) == (2048.0, 0.0)


def test_what_was_cancelled_is_forgotten():
    learner = RateLearner()
    run = run_of(b'a', at=0.0, first=1.0, end=3.0)
    learner.started(run, ())
    learner.forget(run)
    learner.ended(run, 100)
    assert learner.rates((), 0.0) == ()


def test_events_of_a_streamed_answer_are_counted():
    events = EventCounter()
    assert events.count(b'a') == 0
    events.seen(b'a', b'data: {"x": 1}\n\ndata: {"x": 2}\n\n')
    events.seen(b'a', b'data: [DONE]\n\n')
    assert events.count(b'a') == 3
    assert events.forget(b'a') == 3
    assert events.count(b'a') == 0
