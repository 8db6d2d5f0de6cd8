"""A process of another role that records the messages it is sent."""

from __future__ import annotations

from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tools.free_address import free_address


class RecordingPeer:
    """Listens on loopback; `on_message` may answer what arrives."""

    def __init__(self, *, secret, on_message=lambda sender, call, body: None):
        self.address = free_address()
        self.received = []
        self.lost = []
        self._on_message = on_message
        self.network = Network(
            identity=Identity(
                name=self.address, role=ROLE_NODE, secrets={ROLE_NODE: secret}
            ),
            on_message=self._record,
            on_lost=self.lost.append,
            failures=LoopFailures(metrics=Metrics()),
        )
        self.network.listen(self.address)

    def number(self, cls):
        """Return how many messages of a class have arrived."""
        return sum(isinstance(body, cls) for body in self.received)

    def send_all(self, effects):
        self.network.send_all(effects)

    def stop(self):
        self.network.close(drain_s=0)

    def _record(self, sender, call, body):
        self.received.append(body)
        self._on_message(sender, call, body)
