"""An agent measures its engine only for a service that the switch names."""

from __future__ import annotations

import json

import pytest

from pistachiopath.messages.grants import GateLoad
from pistachiopath.platform.agent_program import AgentProgram
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.relay.settings import LINK_SECRET
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import let_pass, wait_until
from tests.test_exchange.sockets import ScriptedTarget
from tests.test_grants.asks import ask
from tools.free_address import free_address


def responses(number):
    """Return the reports of an engine with one long run."""
    for step in range(number):
        data = {'kv_used': 1, 'runs': [['a', 100 + 30 * step, 1 + step, 0]]}
        body = json.dumps(data).encode()
        yield b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(body), body)


class Agent:
    def __init__(self, engine):
        _, _, port = free_address().rpartition(':')
        cfg = PlatformSettings(
            name='a',
            role='agent',
            zone='z',
            ip='127.0.0.1',
            ports=(int(port) - 2, int(port)),
            engine=engine,
        )
        self.address = cfg.node_address(cfg.agent_port)
        self.program = AgentProgram(cfg, Metrics())
        self.program.start()
        self.peer = RecordingPeer(secret=LINK_SECRET)

    def ask(self, request, **changes):
        body = ask(request, deadline_ms=60_000, **changes)
        self.peer.network.send(self.address, 0, body)

    @property
    def loads(self):
        return [body for body in self.peer.received if isinstance(body, GateLoad)]

    def stop(self):
        self.program.stop()
        self.peer.stop()


@pytest.fixture
def start():
    agents = []

    def start_agent(engine):
        agents.append(Agent(engine))
        return agents[-1]

    yield start_agent
    for agent in agents:
        agent.stop()


def test_an_agent_reports_the_current_speed_of_its_engine(start):
    target = ScriptedTarget(list(responses(60)))
    agent = start(target.address)
    agent.ask('a', is_final_urgent=True)
    wait_until(lambda: len(target.requests) >= 10)
    agent.ask('b', is_final_urgent=True)
    wait_until(lambda: agent.loads and agent.loads[-1].output_age_ms > 0)
    assert agent.loads[-1].current_ms_per_1000_output_tokens > 0


def test_an_engine_of_a_service_without_the_switch_is_not_asked(start):
    target = ScriptedTarget(list(responses(10)))
    agent = start(target.address)
    agent.ask('a')
    wait_until(lambda: agent.loads)
    let_pass(0.5)
    assert target.requests == []
    assert agent.loads[-1].current_ms_per_1000_output_tokens == 0


def test_an_agent_without_an_engine_grants_places(start):
    agent = start('')
    agent.ask('a', is_final_urgent=True)
    wait_until(lambda: agent.loads)
