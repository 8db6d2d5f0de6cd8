from __future__ import annotations

import os

import gevent
import pytest

from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from pistachiopath.util.loop_part import LoopPart
from pistachiopath.util.periodic_loop import PeriodicLoop
from tests.harness.waiting import wait_until


class Loop:
    """A loop of a failing part and a part that counts its calls."""

    def __init__(self, *, fail):
        self.calls = 0
        self.metrics = Metrics()
        self.loop = PeriodicLoop(
            name='timers',
            interval_s=0.001,
            parts=[
                LoopPart(name='failing', run=fail),
                LoopPart(name='counting', run=self._count),
            ],
            failures=LoopFailures(metrics=self.metrics),
        )
        self.loop.start()

    def _count(self, _now):
        self.calls += 1

    def wait_for_calls(self, number):
        wait_until(lambda: self.calls >= number)


@pytest.fixture
def exits(monkeypatch):
    statuses = []
    monkeypatch.setattr(os, '_exit', statuses.append)
    return statuses


def test_later_parts_and_steps_run_although_a_part_fails_each_time(exits):
    def fail(_now):
        raise RuntimeError

    loop = Loop(fail=fail)
    loop.wait_for_calls(3)
    loop.loop.stop()
    assert 'loop_failures_total{loop="timers",part="failing"}' in loop.metrics.render()
    assert exits == []


def test_a_stopped_loop_ends_without_its_process(exits):
    loop = Loop(fail=lambda _now: None)
    loop.wait_for_calls(1)
    loop.loop.stop()
    assert not loop.loop.is_running
    assert exits == []


def test_a_timeout_that_a_part_leaves_running_ends_the_process(exits):
    def leave_timeout(_now):
        gevent.Timeout(0).start()

    loop = Loop(fail=leave_timeout)
    wait_until(lambda: not loop.loop.is_running)
    assert exits == [1]


def test_a_timeout_around_a_step_reaches_its_owner():
    def wait(_now):
        gevent.sleep(5)

    loop = PeriodicLoop(
        name='timers',
        interval_s=1,
        parts=[LoopPart(name='waiting', run=wait)],
        failures=LoopFailures(metrics=Metrics()),
    )
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.01):
        loop.run_step()


def test_a_part_runs_at_its_own_interval():
    called_at = []
    part = LoopPart(name='slow', run=called_at.append, interval_s=1.0)
    for now in (10.0, 10.5, 11.0, 11.9, 12.5):
        part.run_if_due(now)
    assert called_at == [10.0, 11.0, 12.5]


def test_a_failed_part_runs_again_after_its_interval():
    def fail(now):
        called_at.append(now)
        raise RuntimeError

    called_at = []
    part = LoopPart(name='failing', run=fail, interval_s=1.0)
    for now in (10.0, 10.5, 11.0):
        try:
            part.run_if_due(now)
        except RuntimeError:
            continue
    assert called_at == [10.0, 11.0]
