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
    learner.run_started(run, chunks)
    learner.run_ended(run, tokens)


def rate_of(learner, running=(), now=0.0):
    (rate,) = learner.rates(running, now)
    return rate.prefill, rate.decode


def test_rates_follow_finished_runs():
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    assert rate_of(learner) == (2048.0, 50.0)
    learn(learner, run_of(b'b', at=0.0, first=2.0, end=4.0), 200)
    assert rate_of(learner) == (2048.0 - 0.2 * 1024.0, 60.0)


def test_cached_prompt_does_not_change_prefill_rate():
    # A cached prompt of 2048 tokens used to count as a prefill rate of 102,400
    # tokens per second.
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100, CHUNKS)
    learn(learner, run_of(b'b', at=3.0, first=3.02, end=5.02), 100, CHUNKS)
    assert rate_of(learner)[0] == 2048.0


def test_paused_run_does_not_change_rates():
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    paused = run_of(b'b', at=0.0, first=1.0, end=60.0)
    learner.run_started(paused, ())
    learn(learner, paused, 100)
    assert rate_of(learner) == (2048.0, 50.0)


def test_straggler_lowers_rate_before_its_runs_end():
    # The announced rate used to depend only on runs that had ended.
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=3.0), 100)
    slow = [run_of(key, at=10.0, first=11.0) for key in (b'b', b'c')]
    for run in slow:
        learner.run_started(run, ())
    running = [(run, 10) for run in slow]
    assert rate_of(learner, running, now=12.0) == (2048.0, 10.0)
    assert rate_of(learner, running[:0], now=12.0) == (2048.0, 50.0)


@pytest.mark.parametrize('tokens', [0, 7])
def test_short_answer_does_not_change_decode_rate(tokens):
    learner = RateLearner()
    learn(learner, run_of(b'a', at=0.0, first=1.0, end=1.001), tokens)
    assert rate_of(learner) == (2048.0, 0.0)


def test_cancelled_run_does_not_change_rates():
    learner = RateLearner()
    run = run_of(b'a', at=0.0, first=1.0, end=3.0)
    learner.run_started(run, ())
    learner.forget(run)
    learner.run_ended(run, 100)
    assert learner.rates((), 0.0) == ()


def test_events_of_streamed_answer_are_counted():
    events = EventCounter()
    assert events.count(b'a') == 0
    events.add(b'a', b'data: {"x": 1}\n\ndata: {"x": 2}\n\n')
    events.add(b'a', b'data: [DONE]\n\n')
    assert events.count(b'a') == 3
    assert events.forget(b'a') == 3
    assert events.count(b'a') == 0
