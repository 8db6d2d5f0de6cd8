"""Network connections and timers of an agent."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..effects import Send
from ..fencing.order_gate import PassOrder
from ..gate.effects import StartRun, StopRun
from ..gate.limits import GateLimits
from ..gate.run import RunState
from ..routing.prefix import prefix_chunks
from ..telemetry.metrics import Metrics
from ..telemetry.traces import child, context_of
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from ..util.loop_failures import LoopFailures
from ..util.loop_part import LoopPart
from ..util.periodic_loop import PeriodicLoop
from .core import AgentCore
from .engine_client import EngineClient
from .events import EventCounter
from .rates import RateLearner

if TYPE_CHECKING:
    import random

    from opentelemetry.trace import Span, Tracer

    from ..gate.run import Run
    from ..messages.base import Message
    from ..messages.claims import OutcomeRecord
    from ..messages.membership import Rate
    from .settings import AgentSettings

logger = logging.getLogger(__name__)

TICK_S = 0.05
MODELS_POLL_S = 0.5
CRASH_REPORT_TIMEOUT_S = 5.0


class AgentShell:
    """Connects the core to the network and the engine client."""

    def __init__(
        self, *, cfg: AgentSettings, rng: random.Random, tracer: Tracer
    ) -> None:
        self._cfg = cfg
        self.metrics = Metrics()
        self.failures = LoopFailures(metrics=self.metrics)
        self._tracer = tracer
        self._spans: dict[bytes, Span] = {}
        self._rates = RateLearner()
        self._events = EventCounter()
        self.core = AgentCore(
            target=cfg.target,
            address=cfg.advertise or cfg.address,
            zone=cfg.zone,
            models=cfg.models,
            services=cfg.services,
            controls=cfg.controls,
            rng=rng,
            limits=GateLimits(window=cfg.window, max_queued=cfg.max_queued),
        )
        self.network = Network(
            identity=Identity(
                name=cfg.address,
                role=ROLE_NODE,
                secrets={ROLE_NODE: cfg.secret.encode()},
            ),
            on_message=self._on_message,
            on_lost=lambda peer: self.core.link_lost(peer, time.monotonic()),
            failures=self.failures,
        )
        self._engine = EngineClient(
            address=cfg.engine,
            on_data=self._on_data,
            on_end=self._on_end,
            on_refused=self._on_refused,
            on_crash=self._on_crash,
        )
        self._timers = PeriodicLoop(
            name='agent_timers',
            interval_s=TICK_S,
            parts=[
                LoopPart(name='rates', run=self._learn_rates),
                LoopPart(name='lease', run=self._renew_lease),
                LoopPart(name='gate', run=self._tick_gate),
                LoopPart(name='outcomes', run=self._report_outcomes),
            ],
            failures=self.failures,
        )
        # It waits for the engine, which must not delay the timers.
        self._models = PeriodicLoop(
            name='agent_models',
            interval_s=MODELS_POLL_S,
            parts=[LoopPart(name='models', run=self._poll_models)],
            failures=self.failures,
        )

    def start(self) -> None:
        """Listen, register and start to renew the lease."""
        self.network.listen(self._cfg.address)
        self._timers.start()
        if self._cfg.takes_orders:
            self._models.start()

    def stop(self) -> None:
        """Drain the target, then close the network."""
        logger.info('departing', extra={'target': self._cfg.target})
        self._apply_effects(self.core.depart(time.monotonic()))
        while not self.core.is_drained:
            gevent.sleep(TICK_S)
        self.network.close()
        self.stop_timers()
        logger.info('departed', extra={'target': self._cfg.target})

    def stop_timers(self) -> None:
        """Stop the timers at once."""
        self._timers.stop()
        self._models.stop()

    def _learn_rates(self, now: float) -> None:
        if self.core.is_heartbeat_due(now):
            self.core.rates = self._learned_rates(now)

    def _learned_rates(self, now: float) -> tuple[Rate, ...]:
        running = [(r, self._events.count(r.key)) for r in self.core.gate.running()]
        return self._rates.rates(running, now)

    def _renew_lease(self, now: float) -> None:
        self._apply_effects(self.core.renew_lease(now))

    def _tick_gate(self, now: float) -> None:
        self._apply_effects(self.core.tick_gate(now))

    def _report_outcomes(self, now: float) -> None:
        self._apply_effects(self.core.report_outcomes(now))

    def _poll_models(self, _now: float) -> None:
        loaded = self._engine.loaded_models()
        if loaded is not None:
            self.core.loaded = loaded

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        effects = self.core.receive(sender, call, body, time.monotonic())
        self._apply_effects(effects)

    def _apply_effects(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self.network.send(effect.to, effect.call, effect.body)
                case StartRun():
                    self._start_run(effect.run)
                case PassOrder():
                    gevent.spawn(self._engine.send_order, effect.order)
                case StopRun():
                    self._engine.stop(effect.run)
                    if effect.run.state is not RunState.PAUSED:
                        self._forget(effect.run)
                    self.metrics.count('runs_stopped_total')

    def _start_run(self, run: Run) -> None:
        self.metrics.observe('queue', run.started_at - run.arrived_at)
        context = context_of(run.work.traceparent)
        queue_span = self._tracer.start_span(
            'agent_queue', context=context, start_time=_wall_ns(run.arrived_at)
        )
        queue_span.end()
        self._spans[run.key] = child(self._tracer, 'engine', context)
        logger.info(
            'run_started',
            extra={
                'request': run.key.hex(),
                'binding': run.binding,
                'target': self._cfg.target,
                'traceparent': run.work.traceparent,
            },
        )
        self._rates.run_started(run, prefix_chunks(run.work.body))
        self._engine.start(run)

    def _forget(self, run: Run) -> None:
        """Drop the samples of a run that was refused or cancelled."""
        self._rates.forget(run)
        self._events.forget(run.key)

    def _on_data(self, run: Run, status: int, content_type: str, data: bytes) -> None:
        if run.state is RunState.RUNNING:
            self._events.add(run.key, data)
        effects = self.core.gate.engine_data(
            run, status, content_type, data, time.monotonic()
        )
        self._apply_effects(self.core.handle_engine_effects(effects))

    def _on_end(self, run: Run, outcome: OutcomeRecord) -> None:
        effects = self.core.gate.engine_end(run, outcome, time.monotonic())
        self._rates.run_ended(run, self._events.forget(run.key))
        self._end_span(run)
        self.metrics.count('runs_total', outcome=outcome.kind)
        logger.info(
            'run_ended',
            extra={
                'request': run.key.hex(),
                'outcome': outcome.kind,
                'reason': outcome.reason,
                'target': self._cfg.target,
            },
        )
        self._apply_effects(self.core.handle_engine_effects(effects))

    def _on_refused(self, run: Run, retry_after_ms: int) -> None:
        effects = self.core.gate.engine_refused(run, retry_after_ms, time.monotonic())
        self._forget(run)
        self._end_span(run)
        self._apply_effects(self.core.handle_engine_effects(effects))

    def _on_crash(self, run: Run) -> None:
        """Report the crash that ended a run; wait a limited time for the commit."""
        now = time.monotonic()
        effects = self.core.engine_crashed(run, now)
        logger.error(
            'engine_crashed',
            extra={'target': self._cfg.target, 'request': run.key.hex()},
        )
        self._apply_effects(effects)
        # The caller gets the outcome only after this wait.  Otherwise it could
        # resend the content and crash another target before this crash counts.
        while (
            self.core.is_reporting_crash
            and time.monotonic() < now + CRASH_REPORT_TIMEOUT_S
        ):
            gevent.sleep(TICK_S)

    def _end_span(self, run: Run) -> None:
        span = self._spans.pop(run.key, None)
        if span is not None:
            span.end()


def _wall_ns(monotonic_s: float) -> int:
    return time.time_ns() - int((time.monotonic() - monotonic_s) * 1e9)
