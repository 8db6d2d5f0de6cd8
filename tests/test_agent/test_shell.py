from __future__ import annotations

import random

import pytest
from opentelemetry.trace import NoOpTracer

from pistachiopath.agent.settings import AgentSettings
from pistachiopath.agent.shell import AgentShell
from pistachiopath.messages.membership import Register
from tests.harness.failing import FailingMethod
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import wait_until
from tools.free_address import free_address

SECRET = 'secret-of-the-test'
# Methods that the timers of an agent call.
TIMED_METHODS = {
    'rates': lambda shell: (shell.core, 'is_heartbeat_due'),
    'lease': lambda shell: (shell.core.leader, 'tick'),
    'gate': lambda shell: (shell.core.gate, 'tick'),
    'outcomes': lambda shell: (shell.core, '_report_outcomes'),
}


@pytest.fixture
def control():
    peer = RecordingPeer(secret=SECRET.encode())
    yield peer
    peer.stop()


@pytest.fixture
def shell(control):
    shell = AgentShell(
        cfg=AgentSettings(
            target='t',
            zone='a',
            address=free_address(),
            controls=(control.address,),
            secret=SECRET,
            engine=free_address(),
            takes_orders=True,
        ),
        rng=random.Random(1),
        tracer=NoOpTracer(),
    )
    shell.start()
    yield shell
    shell.stop_timers()
    shell.network.close(drain_s=0)


@pytest.mark.parametrize('part', sorted(TIMED_METHODS))
def test_an_agent_registers_after_a_timer_has_failed(control, shell, part):
    # Regression: one exception ended the timers, and the agent still answered.
    failing = FailingMethod(*TIMED_METHODS[part](shell))
    wait_until(lambda: failing.failed)
    sent = control.number(Register)
    wait_until(lambda: control.number(Register) > sent)
    assert f'loop="agent_timers",part="{part}"}} 1' in shell.metrics.render()


def test_the_models_of_the_engine_are_polled_after_a_poll_has_failed(
    shell, monkeypatch
):
    failing = FailingMethod(shell._engine, 'loaded_models')
    wait_until(lambda: failing.calls > 1)
    assert 'loop="agent_models",part="models"} 1' in shell.metrics.render()
