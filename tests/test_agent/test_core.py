from __future__ import annotations

import random

import pytest

from pistachiopath.agent.core import AgentCore
from pistachiopath.gate.effects import StartRun
from pistachiopath.gate.limits import GateLimits
from pistachiopath.messages.claims import Done, OutcomeRecord
from pistachiopath.messages.dispatch import Dispatch, Work
from pistachiopath.messages.membership import CrashReport, Registered


@pytest.fixture
def agent():
    core = AgentCore(
        target='t',
        address='127.0.0.1:1',
        zone='dc0',
        models=('m',),
        services=(),
        controls=('c0',),
        rng=random.Random(1),
        limits=GateLimits(window=4),
    )
    core.tick(0.0)
    core.receive('c0', 1, Registered(incarnation=7, fence=1), 0.0)
    core.gate.lease_until = 100.0
    return core


def start(core, key, now):
    msg = Dispatch(
        key=key, binding=1, incarnation=7, deadline_ms=9000, work=Work(path='/')
    )
    effects = core.receive('e0', 0, msg, now)
    return next(e.run for e in effects if isinstance(e, StartRun))


def crash(core, runs, now):
    """End all runs as one engine crash does; return the reports that are sent."""
    sent = [e for run in runs for e in core.engine_crashed(run, now)]
    for run in runs:
        lost = OutcomeRecord(kind='failed', reason='engine_lost')
        core.handle_engine_effects(core.gate.engine_end(run, lost, now))
    return [e for e in sent if isinstance(e.body, CrashReport)]


def test_one_crash_is_reported_once_for_all_runs(agent):
    runs = [start(agent, key, 1.0) for key in (b'a', b'b')]
    (report,) = crash(agent, runs, 1.5)
    assert report.body.keys == (b'a', b'b')
    assert agent.is_reporting_crash
    agent.receive('c0', report.call, Done(), 1.6)
    assert not agent.is_reporting_crash


def test_a_second_crash_soon_after_is_reported_too(agent):
    (first,) = crash(agent, [start(agent, b'a', 1.0)], 1.1)
    assert crash(agent, [start(agent, b'b', 1.2)], 1.3) == []
    (second,) = agent.receive('c0', first.call, Done(), 1.4)
    assert second.body == CrashReport(target='t', number=2, keys=(b'b',))
    assert agent.is_reporting_crash
    agent.receive('c0', second.call, Done(), 1.5)
    assert not agent.is_reporting_crash
