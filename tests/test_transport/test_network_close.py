from __future__ import annotations

from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport import network as network_module
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures

DRAIN_S = 0.1


class Clock:
    """Time that passes only while something waits."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class StuckLink:
    """A link whose peer reads nothing."""

    def __init__(self, clock):
        self._clock = clock
        self.closed = False

    def drain(self, timeout_s):
        self._clock.now += timeout_s

    def close(self):
        self.closed = True


def test_links_that_are_stuck_delay_a_stop_once(monkeypatch):
    # Regression: each stuck link took the whole drain time, one after the other.
    network = Network(
        identity=Identity(name='n', role=ROLE_NODE, secrets={ROLE_NODE: b''}),
        on_message=lambda *_: None,
        on_lost=lambda peer: None,
        failures=LoopFailures(metrics=Metrics()),
        silence_s=1.0,
    )
    clock = Clock()
    monkeypatch.setattr(network_module, 'time', clock)
    links = [StuckLink(clock) for _ in range(5)]
    network._links = {str(number): link for number, link in enumerate(links)}
    network.close(drain_s=DRAIN_S)
    assert clock.now < 2 * DRAIN_S
    assert all(link.closed for link in links)
