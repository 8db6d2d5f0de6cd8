from __future__ import annotations

import logging

import pytest

from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.gate_log import GateLog
from pistachiopath.telemetry.metrics import Metrics

from .asks import ask, release


@pytest.fixture
def lines(caplog):
    """Return a function that lists the logged decisions on one request."""
    caplog.set_level(logging.INFO, logger='pistachiopath.grants.gate_log')

    def of(request):
        return [r for r in caplog.records if getattr(r, 'request', '') == request]

    return of


def test_a_grant_says_how_late_it_came_and_who_waited_in_time(lines):
    metrics = Metrics()
    gate = GrantGate(log=GateLog(metrics=metrics))
    gate.ask('e', ask('a', slots=1), 0.0)
    gate.ask('e', ask('b', slots=1, objective_ms=100), 0.0)
    gate.ask('e', ask('c', slots=1), 0.0)
    gate.release('e', release('a'), 0.05)
    gate.release('e', release('b'), 0.4)
    [line] = lines('b')
    assert line.msg == 'place_granted'
    assert (line.waited_ms, line.objective_left_ms) == (50, 50)
    assert (line.running, line.waiting, line.tier_in_time) == (0, 1, 1)
    assert 'gate_grants_total{late="False",tier="1"} 3' in metrics.render()


def test_a_denial_says_its_cause_and_what_it_was_estimated_from(lines):
    metrics = Metrics()
    gate = GrantGate(log=GateLog(metrics=metrics))
    for number in range(12):
        gate.ask('e', ask(f'n{number}'), 0.0)
    gate.ask('e', ask('hopeless', deadline_ms=200), 0.0)
    [line] = lines('hopeless')
    assert (line.msg, line.cause) == ('place_denied', 'patience')
    assert line.ahead == 10
    assert line.by_work_ms > 200
    assert 'gate_denials_total{cause="patience",tier="1"} 1' in metrics.render()


def test_an_expired_request_is_told_apart_from_one_denied_early(lines):
    gate = GrantGate()
    gate.ask('e', ask('a', slots=1), 0.0)
    gate.ask('e', ask('b', slots=1, deadline_ms=500), 0.0)
    gate.tick(0.5)
    assert lines('b')[-1].cause == 'expired'
