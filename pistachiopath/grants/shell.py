"""Network connections and timers of an engine's gate."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from ..engine_state.state import EngineState
from ..messages.grants import Ask, ReleasePlace, WatchLoad
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from ..util.listening_span import ListeningSpan
from ..util.loop_failures import LoopFailures
from ..util.loop_part import LoopPart
from ..util.periodic_loop import PeriodicLoop
from .gate import GrantGate
from .gate_log import GateLog

if TYPE_CHECKING:
    from ..effects import Send
    from ..engine_state.report import EngineReport
    from ..messages.base import Message
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

TICK_S = 0.05
LOG_PERIOD_S = 1.0
LINK_SILENCE_S = 1.5


class GateShell:
    """Runs the gate of the engine on this VM."""

    def __init__(
        self,
        *,
        address: str,
        secret: bytes,
        metrics: Metrics,
        listen_address: str = '',
    ) -> None:
        self.gate = GrantGate(
            log=GateLog(metrics=metrics), engine=EngineState(metrics=metrics)
        )
        self._listen_address = listen_address or address
        self._metrics = metrics
        self._listening = ListeningSpan()
        failures = LoopFailures(metrics=metrics)
        self._network = Network(
            identity=Identity(
                name=address, role=ROLE_NODE, secrets={ROLE_NODE: secret}
            ),
            on_message=self._on_message,
            on_lost=lambda peer: self._network.send_all(
                self.gate.entry_lost(peer, time.monotonic())
            ),
            silence_s=LINK_SILENCE_S,
            failures=failures,
        )
        self._timers = PeriodicLoop(
            name='gate_timers',
            interval_s=TICK_S,
            parts=[
                LoopPart(name='gate', run=self._tick_gate),
                LoopPart(name='load', run=self._report_load, interval_s=LOG_PERIOD_S),
            ],
            failures=failures,
        )

    def start(self) -> None:
        """Start listening and granting places."""
        self._network.listen(self._listen_address)
        self._timers.start()

    def stop(self) -> None:
        """Stop at once; runs on the engine continue."""
        self._network.close(drain_s=0.1)
        self._timers.stop()

    def record_report(
        self, report: EngineReport, requested_at: float, now: float
    ) -> None:
        """Record what the engine says of itself; a notable change is sent at once."""
        if self.gate.engine.record_report(report, requested_at, now):
            self._network.send_all(self.gate.tell_watchers(now))

    def _tick_gate(self, now: float) -> None:
        if self._listening.turn(now):
            self.gate.end_standstill(now)
        self._network.send_all(self.gate.tick(now))

    def _report_load(self, now: float) -> None:
        gate = self.gate
        self._metrics.set('gate_running', gate.running)
        self._metrics.set('gate_waiting', gate.waiting)
        gate.engine.report(gate.load(now), now)
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
        self._network.send_all(self._handle(sender, call, body, time.monotonic()))

    def _handle(self, sender: str, call: int, body: Message, now: float) -> list[Send]:
        match body:
            case Ask():
                return self.gate.ask(sender, body, now)
            case ReleasePlace():
                return self.gate.release(sender, body, now)
            case WatchLoad(held=held) if held:
                return self.gate.keep(sender, held, now)
            case WatchLoad(streams=()):
                return self.gate.watch(sender, body, now)
            case WatchLoad(streams=streams):
                return self.gate.find_streams(sender, call, streams, now)
        return []
