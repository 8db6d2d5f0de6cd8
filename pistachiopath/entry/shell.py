"""Network connections and timers of an entry."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.queue
from opentelemetry.trace import Span

from ..admission.rules import Rules
from ..claims.effects import Deliver
from ..configuration.configuration import Configuration
from ..effects import Send
from ..messages.dispatch import Attach, Dispatch
from ..routing.earliest_finish import EarliestFinish
from ..telemetry.metrics import Metrics
from ..telemetry.traces import child, context_of, traceparent_of
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from ..util.loop_failures import LoopFailures
from ..util.loop_part import LoopPart
from ..util.periodic_loop import PeriodicLoop
from .core import CallerEffect, ConfigurationInForce, EntryCore
from .requests import ParsedRequest

if TYPE_CHECKING:
    import random

    from opentelemetry.trace import Tracer

    from ..messages.base import Message
    from .settings import EntrySettings

logger = logging.getLogger(__name__)

TICK_S = 0.05


@attrs.define(kw_only=True)
class Call:
    """An open request of a caller."""

    number: int
    parsed: ParsedRequest
    started_at: float
    span: Span
    claim_span: Span
    effects: gevent.queue.Queue = attrs.field(factory=gevent.queue.Queue)
    first_byte_at: float = 0.0


class EntryShell:
    """Connects the core to the network and the greenlets of callers."""

    def __init__(
        self, *, cfg: EntrySettings, rng: random.Random, tracer: Tracer
    ) -> None:
        self.rules: Rules | None = None
        self.metrics = Metrics()
        self.failures = LoopFailures(metrics=self.metrics)
        self.draining = False
        self._tracer = tracer
        self._calls: dict[int, Call] = {}
        self._claiming_calls: dict[bytes, Call] = {}
        self.core = EntryCore(
            name=cfg.name,
            controls=cfg.controls,
            rng=rng,
            make_chooser=lambda targets, r: EarliestFinish(targets=targets, rng=r),
        )
        self.network = Network(
            identity=Identity(
                name=cfg.name,
                role=ROLE_NODE,
                secrets={ROLE_NODE: cfg.secret.encode()},
            ),
            on_message=self._on_message,
            on_lost=self._on_lost,
            failures=self.failures,
        )
        self._timers = PeriodicLoop(
            name='entry_timers',
            interval_s=TICK_S,
            parts=[
                LoopPart(name='view', run=self._follow_view),
                LoopPart(name='flows', run=self._tick_flows),
            ],
            failures=self.failures,
        )

    def render_metrics(self) -> str:
        """Return all metrics as text."""
        self.metrics.set('link_sent_bytes_total', self.network.sent_bytes)
        self.metrics.set('link_received_bytes_total', self.network.received_bytes)
        self.metrics.set('link_sent_messages_total', self.network.sent_messages)
        return self.metrics.render()

    def start(self) -> None:
        """Start to follow the targets and the configuration."""
        self._timers.start()

    def drain(self, timeout_s: float) -> None:
        """Refuse new requests, wait for the open calls and close the network.

        The wait ends after `timeout_s` at the latest.
        """
        self.draining = True
        deadline = time.monotonic() + timeout_s
        while self._calls and time.monotonic() < deadline:
            gevent.sleep(TICK_S)
        self.network.close()
        self._timers.stop()

    def submit(self, parsed: ParsedRequest) -> Call:
        """Start the flow of a request."""
        now = time.monotonic()
        work = parsed.submission.work
        span = child(self._tracer, 'entry', context_of(work.traceparent))
        span.set_attribute('request_id', parsed.request_id)
        span.set_attribute('tier', parsed.tier)
        traceparent = traceparent_of(span) or work.traceparent
        work = attrs.evolve(work, traceparent=traceparent)
        submission = attrs.evolve(parsed.submission, work=work)
        parsed = attrs.evolve(parsed, submission=submission)
        claim_span = child(self._tracer, 'claim', context_of(traceparent))
        number, effects = self.core.submit(submission, now)
        call = Call(
            number=number,
            parsed=parsed,
            started_at=now,
            span=span,
            claim_span=claim_span,
        )
        self._calls[number] = call
        self._claiming_calls[submission.key] = call
        self._carry_out(effects)
        return call

    def close_call(self, call: Call) -> None:
        """Drop a call and end its flow if it is still active."""
        if self._calls.pop(call.number, None) is None:
            return
        self._claiming_calls.pop(call.parsed.submission.key, None)
        _end_if_recording(call.claim_span)
        call.span.end()
        self._carry_out(self.core.caller_left(call.number, time.monotonic()))

    def record_outcome(self, call: Call, outcome: str) -> None:
        """Record an outcome in the metrics, the span and the log."""
        now = time.monotonic()
        tier = call.parsed.tier
        call.span.set_attribute('outcome', outcome)
        self.metrics.count('requests_total', tier=tier, outcome=outcome)
        self.metrics.observe('request', now - call.started_at, tier=tier)
        logger.info(
            'request_ended',
            extra={
                'request_id': call.parsed.request_id,
                'request': call.parsed.submission.key.hex(),
                'customer': call.parsed.submission.work.customer,
                'tier': tier,
                'outcome': outcome,
                'revision': self.core.revision,
                'traceparent': call.parsed.submission.work.traceparent,
                'duration_ms': int((now - call.started_at) * 1000),
            },
        )

    def _follow_view(self, now: float) -> None:
        self._carry_out(self.core.follow_view(now))

    def _tick_flows(self, now: float) -> None:
        """Run the timers of each flow; one that fails does not hold up the others."""
        for number in self.core.flow_numbers():
            try:
                self._carry_out(self.core.tick_flow(number, now))
            except Exception as exc:
                self.failures.record('entry_timers', 'flow', exc)

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        now = time.monotonic()
        self._carry_out(self.core.receive(sender, call, body, now))

    def _on_lost(self, peer: str) -> None:
        self._carry_out(self.core.link_lost(peer, time.monotonic()))

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self.network.send(effect.to, effect.call, effect.body)
                    self._end_claim_span(effect.body)
                case CallerEffect():
                    self._deliver(effect)
                case ConfigurationInForce():
                    self._apply_configuration(effect)

    def _deliver(self, effect: CallerEffect) -> None:
        call = self._calls.get(effect.flow)
        if call is None:
            return
        if isinstance(effect.effect, Deliver) and not call.first_byte_at:
            call.first_byte_at = time.monotonic()
            self.metrics.observe(
                'first_byte',
                call.first_byte_at - call.started_at,
                tier=call.parsed.tier,
            )
        call.effects.put(effect.effect)

    def _end_claim_span(self, body: Message) -> None:
        """End the claim span of a call whose request is bound."""
        if not isinstance(body, (Dispatch, Attach)):
            return
        call = self._claiming_calls.pop(body.key, None)
        if call is not None:
            _end_if_recording(call.claim_span)

    def _apply_configuration(self, effect: ConfigurationInForce) -> None:
        configuration = Configuration.from_bytes(effect.content)
        self.rules = Rules(configuration=configuration, before=self.rules)
        logger.info('configuration_in_force', extra={'revision': effect.revision})


def _end_if_recording(span: Span) -> None:
    if span.is_recording():
        span.end()
