from __future__ import annotations

import logging

from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util import loop_failures
from pistachiopath.util.loop_failures import LoopFailures


def messages(caplog):
    return [r for r in caplog.records if r.getMessage() == 'loop_failed']


def test_an_error_that_repeats_is_counted_each_time_and_logged_once(
    caplog, monkeypatch
):
    clock = [100.0]
    monkeypatch.setattr(loop_failures.time, 'monotonic', lambda: clock[0])
    metrics = Metrics()
    failures = LoopFailures(metrics=metrics)
    with caplog.at_level(logging.ERROR):
        for _ in range(1000):
            failures.record('timers', 'prune', ValueError('x'))
        assert len(messages(caplog)) == 1
        clock[0] += loop_failures.LOG_INTERVAL_S
        failures.record('timers', 'prune', ValueError('x'))
    first, second = messages(caplog)
    assert first.exc_info[0] is ValueError
    assert (first.loop, first.part, first.unlogged) == ('timers', 'prune', 0)
    assert second.unlogged == 999
    expected = 'pistachiopath_loop_failures_total{loop="timers",part="prune"} 1001'
    assert expected in metrics.render()


def test_another_error_is_logged_beside_one_that_repeats(caplog):
    failures = LoopFailures(metrics=Metrics())
    with caplog.at_level(logging.ERROR):
        failures.record('timers', 'prune', ValueError('x'))
        failures.record('timers', 'prune', KeyError('y'))
        failures.record('timers', 'publish', ValueError('x'))
    assert [r.error for r in messages(caplog)] == [
        "ValueError('x')",
        "KeyError('y')",
        "ValueError('x')",
    ]


def test_a_long_error_is_cut_in_the_log(caplog):
    with caplog.at_level(logging.ERROR):
        exc = ValueError('x' * 10**6)
        LoopFailures(metrics=Metrics()).record('timers', 'prune', exc)
    assert len(messages(caplog)[0].error) == loop_failures.MAX_ERROR_LENGTH
