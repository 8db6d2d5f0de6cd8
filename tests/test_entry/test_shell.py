from __future__ import annotations

import random

import pytest
from opentelemetry.trace import NoOpTracer

from pistachiopath.claims.flow import FlowState
from pistachiopath.entry.settings import EntrySettings
from pistachiopath.entry.shell import EntryShell
from pistachiopath.messages.membership import ViewRequest
from tests.harness.failing import FailingMethod
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import wait_until
from tools.free_address import free_address

SECRET = 'secret-of-the-test'


class TickedFlow:
    """A flow that only counts its ticks."""

    state = FlowState.BINDING

    def __init__(self):
        self.ticks = 0

    def tick(self, _now):
        self.ticks += 1
        return []


@pytest.fixture
def control():
    peer = RecordingPeer(secret=SECRET.encode())
    yield peer
    peer.stop()


@pytest.fixture
def shell(control):
    shell = EntryShell(
        cfg=EntrySettings(
            name='e',
            zone='a',
            http=free_address(),
            controls=(control.address,),
            secret=SECRET,
        ),
        rng=random.Random(1),
        tracer=NoOpTracer(),
    )
    shell.start()
    yield shell
    shell.drain(0.0)


@pytest.mark.parametrize(
    ('part', 'method'), [('view', 'follow_view'), ('flows', 'flow_numbers')]
)
def test_targets_are_followed_after_a_timer_has_failed(control, shell, part, method):
    # Regression: one exception ended the timers, and the entry still answered.
    failing = FailingMethod(shell.core, method)
    wait_until(lambda: failing.failed)
    asked = control.number(ViewRequest)
    wait_until(lambda: control.number(ViewRequest) > asked)
    assert f'loop="entry_timers",part="{part}"}} 1' in shell.metrics.render()


def test_a_flow_that_always_fails_holds_up_no_other_flow(control, shell):
    failing, sound = TickedFlow(), TickedFlow()
    method = FailingMethod(failing, 'tick', times=10**9)
    shell.core._flows |= {1: failing, 2: sound}
    asked = control.number(ViewRequest)
    wait_until(lambda: method.failed > 1 and sound.ticks > 1)
    wait_until(lambda: control.number(ViewRequest) > asked)
    assert 'loop="entry_timers",part="flow"' in shell.metrics.render()
