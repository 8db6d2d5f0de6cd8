"""Network connections and timers of an engine's gate."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..effects import Send
from ..messages.grants import Ask, ReleasePlace, WatchLoad
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from .gate import GrantGate
from .gate_log import GateLog

if TYPE_CHECKING:
    from ..messages.base import Message
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

TICK_S = 0.05
LOG_PERIOD_S = 1.0
LINK_SILENCE_S = 1.5


class GateShell:
    """Runs the gate of the engine on this VM."""

    def __init__(self, *, address: str, secret: bytes, metrics: Metrics) -> None:
        self.gate = GrantGate(log=GateLog(metrics=metrics))
        self._address = address
        self._metrics = metrics
        self._network = Network(
            identity=Identity(
                name=address, role=ROLE_NODE, secrets={ROLE_NODE: secret}
            ),
            on_message=self._on_message,
            on_lost=lambda peer: self._apply_effects(
                self.gate.entry_lost(peer, time.monotonic())
            ),
            silence_s=LINK_SILENCE_S,
        )

    def start(self) -> None:
        """Start listening and granting places."""
        self._network.listen(self._address)
        gevent.spawn(self._loop)

    def stop(self) -> None:
        """Stop at once; runs on the engine continue."""
        self._network.close(drain_s=0.1)

    def _loop(self) -> None:
        log_at = 0.0
        while True:
            now = time.monotonic()
            self._apply_effects(self.gate.tick(now))
            if now >= log_at:
                log_at = now + LOG_PERIOD_S
                self._report_load()
            gevent.sleep(TICK_S)

    def _report_load(self) -> None:
        gate = self.gate
        self._metrics.set('gate_running', gate.running)
        self._metrics.set('gate_waiting', gate.waiting)
        if gate.waiting:
            logger.info(
                'gate_load',
                extra={
                    'running': gate.running,
                    'waiting': gate.waiting,
                    'slots': gate.slots,
                    'prompt_us': int(gate.speed.prompt_ms * 1000),
                    'output_us': int(gate.speed.output_ms * 1000),
                },
            )

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        now = time.monotonic()
        match body:
            case Ask():
                self._apply_effects(self.gate.ask(sender, body, now))
            case ReleasePlace():
                self._apply_effects(self.gate.release(sender, body, now))
            case WatchLoad(streams=()):
                self._apply_effects(self.gate.watch(sender, body, now))
            case WatchLoad(streams=streams):
                self._apply_effects(self.gate.find_streams(sender, call, streams, now))

    def _apply_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._network.send(effect.to, effect.call, effect.body)
