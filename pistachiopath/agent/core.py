"""Decision logic of an agent, without I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..effects import Send
from ..fencing.order_gate import OrderGate
from ..gate.effects import RecordOutcome
from ..gate.gate import Gate
from ..gate.limits import GateLimits
from ..messages.claims import Done, Finish, FinishItem
from ..messages.dispatch import Attach, Cancel, Dispatch
from ..messages.fencing import Order
from ..messages.membership import (
    CrashReport,
    Heartbeat,
    HeartbeatAck,
    Rate,
    Register,
    Registered,
    Retire,
)
from ..messages.replication import NotLeader
from ..replication.leader_client import LeaderClient

if TYPE_CHECKING:
    import random

    from ..gate.run import Run
    from ..messages.base import Message
    from ..messages.fencing import LoadedModel

HEARTBEAT_INTERVAL_S = 0.5
MAX_FINISH_ITEMS = 256
NONCE_BYTES = 16


class AgentCore:
    """Registers a target, renews its lease and controls access to its engine.

    An agent without an incarnation or with an expired lease starts no run.
    A lease begins when the acknowledged heartbeat was sent, by the agent's
    own clock.  Methods return effects; `now` is that clock in seconds.
    """

    def __init__(
        self,
        *,
        target: str,
        address: str,
        zone: str,
        models: tuple[str, ...],
        services: tuple[str, ...],
        controls: tuple[str, ...],
        rng: random.Random,
        limits: GateLimits | None = None,
    ) -> None:
        self.gate = Gate(limits=limits or GateLimits())
        self.leader = LeaderClient(addresses=controls, rng=rng)
        self.target = target
        self.orders = OrderGate()
        self.loaded: tuple[LoadedModel, ...] = ()
        self.revision = 0
        self.rates: tuple[Rate, ...] = ()
        self._address = address
        self._zone = zone
        self._models = models
        self._services = services
        self._controls = controls
        self._rng = rng
        self._last_call = 0
        self._sequence = 0
        self._next_heartbeat_at = 0.0
        self._heartbeat_sent_at: dict[int, float] = {}
        self._register_call = 0
        self._unreported_outcomes: list[FinishItem] = []
        self._finish_call = 0
        self._retire_call = 0
        self._retired = False
        self._crashes = 0
        self._crash_reports: deque[CrashReport] = deque()
        self._crash_call = 0
        self._crashed_runs: dict[bytes, int] = {}

    @property
    def is_reporting_crash(self) -> bool:
        """Return whether a crash report is not committed yet."""
        return bool(self._crash_reports)

    @property
    def is_drained(self) -> bool:
        """Return whether the drain is complete and the target is retired."""
        reported = not self._unreported_outcomes and not self._finish_call
        return self.gate.departing and self.gate.is_idle and reported and self._retired

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether the next tick sends a heartbeat."""
        return bool(self.gate.incarnation) and now >= self._next_heartbeat_at

    def depart(self, now: float) -> list:
        """Start to drain the target and announce it at once."""
        effects = self._queue_outcomes(self.gate.depart(now))
        self._next_heartbeat_at = now
        return effects + self.tick(now)

    def receive(self, sender: str, call: int, body: Message, now: float) -> list:
        """Handle a message."""
        match body:
            case Dispatch():
                return self._queue_outcomes(self.gate.dispatch(sender, body, now))
            case Attach():
                return self._queue_outcomes(self.gate.attach(sender, body, now))
            case Cancel():
                return self._queue_outcomes(self.gate.cancel(sender, body, now))
            case Order():
                reply, order_effects = self.orders.receive(body)
                return [Send(to=sender, call=call, body=reply), *order_effects]
            case HeartbeatAck():
                return self._on_heartbeat_ack(body, now)
            case Registered() | Done() | NotLeader():
                return self._on_leader_reply(sender, call, body, now)
        return []

    def handle_engine_effects(self, effects: list) -> list:
        """Queue the outcomes among the gate's effects; return the other effects."""
        return self._queue_outcomes(effects)

    def engine_crashed(self, run: Run, now: float) -> list:
        """Report an engine crash once, with all runs that were on the engine.

        Since a crash ends every run on the engine, a run that the last report
        does not name was ended by another crash, even if it followed at once.
        """
        if self._crashed_runs.get(run.key) == run.binding:
            return []
        running = self.gate.running()
        self._crashed_runs = {r.key: r.binding for r in running}
        self._crashes += 1
        report = CrashReport(
            target=self.target, number=self._crashes, keys=tuple(self._crashed_runs)
        )
        self._crash_reports.append(report)
        return self._report_crashes(now)

    def link_lost(self, address: str, now: float) -> None:
        """Ask another control replica if the link to the presumed leader broke."""
        self.leader.link_lost(address, now)

    def tick(self, now: float) -> list:
        """Run periodic work: resends, heartbeats, starts, reports and retirement."""
        return self.renew_lease(now) + self.tick_gate(now) + self.report_outcomes(now)

    def renew_lease(self, now: float) -> list:
        """Resend calls to the leader, register and send heartbeats."""
        effects = self.leader.tick(now)
        if not self.gate.incarnation and not self._register_call:
            effects += self._register(now)
        if self.is_heartbeat_due(now):
            effects += self._send_heartbeat(now)
        return effects

    def tick_gate(self, now: float) -> list:
        """Run the timers of the gate."""
        return self._queue_outcomes(self.gate.tick(now))

    def report_outcomes(self, now: float) -> list:
        """Report outcomes, and retire once the target has departed."""
        effects = self._report_outcomes(now)
        if self.gate.departing and self.gate.is_idle and not self._retire_call:
            effects += self._retire(now)
        return effects

    def _on_heartbeat_ack(self, ack: HeartbeatAck, now: float) -> list:
        sent_at = self._heartbeat_sent_at.get(ack.sequence)
        if sent_at is None:
            return []
        if ack.lease_ms == 0:
            return self._reset_incarnation(now)
        self.revision = max(self.revision, ack.revision)
        # Requests that were queued when the lease expired may be late,
        # quarantined or bound to another target by now, so their entries must
        # bind them again.
        lease_expired = now >= self.gate.lease_until
        effects = self.gate.void_queue('lease', now) if lease_expired else []
        effects += self.gate.void(ack.quarantined, 'quarantined', now)
        lease_until = sent_at + ack.lease_ms / 1000
        self.gate.lease_until = max(self.gate.lease_until, lease_until)
        return self._queue_outcomes(effects + self.gate.tick(now))

    def _reset_incarnation(self, now: float) -> list:
        """Register again after the control replicas retired this incarnation."""
        if self.gate.departing or not self.gate.incarnation:
            return []
        self.gate.lease_until = 0.0
        self._heartbeat_sent_at.clear()
        return self._queue_outcomes(self.gate.start_incarnation(0, now))

    def _register(self, now: float) -> list:
        self._register_call = self._next_call()
        nonce = self._rng.randbytes(NONCE_BYTES)
        register = Register(target=self.target, nonce=nonce)
        return self.leader.ask(self._register_call, register, now)

    def _on_leader_reply(
        self, sender: str, call: int, body: Message, now: float
    ) -> list:
        final, effects = self.leader.answered(sender, call, body, now)
        if not final:
            return effects
        if call == self._register_call and isinstance(body, Registered):
            self._register_call = 0
            self.orders.registered(body.incarnation, body.fence)
            effects += self._queue_outcomes(
                self.gate.start_incarnation(body.incarnation, now)
            )
            self._next_heartbeat_at = now
        if call == self._crash_call:
            self._crash_reports.popleft()
            effects += self._report_crashes(now)
        if call == self._finish_call:
            self._finish_call = 0
        if call == self._retire_call:
            self._retired = True
        return effects

    def _send_heartbeat(self, now: float) -> list:
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self._sequence += 1
        self._heartbeat_sent_at[self._sequence] = now
        self._heartbeat_sent_at.pop(self._sequence - 20, None)
        heartbeat = Heartbeat(
            target=self.target,
            incarnation=self.gate.incarnation,
            sequence=self._sequence,
            address=self._address,
            zone=self._zone,
            models=self._served_models(),
            services=self._services,
            departing=self.gate.departing,
            revision=self.revision,
            load=self.gate.load(),
            rates=self.rates,
            loaded=self.loaded,
        )
        return [Send(to=address, call=0, body=heartbeat) for address in self._controls]

    def _served_models(self) -> tuple[str, ...]:
        """Return the ready models that the engine lists, or the configured ones."""
        if not self.loaded:
            return self._models
        return tuple(m.model for m in self.loaded if m.ready)

    def _report_outcomes(self, now: float) -> list:
        if self._finish_call or not self._unreported_outcomes:
            return []
        batch = tuple(self._unreported_outcomes[:MAX_FINISH_ITEMS])
        del self._unreported_outcomes[:MAX_FINISH_ITEMS]
        self._finish_call = self._next_call()
        return self.leader.ask(self._finish_call, Finish(items=batch), now)

    def _report_crashes(self, now: float) -> list:
        """Send the oldest crash report that is not committed, one at a time."""
        if self.leader.is_asking(self._crash_call) or not self._crash_reports:
            return []
        self._crash_call = self._next_call()
        return self.leader.ask(self._crash_call, self._crash_reports[0], now)

    def _retire(self, now: float) -> list:
        if self._unreported_outcomes or self._finish_call or self._crash_reports:
            return []
        self._retire_call = self._next_call()
        retire = Retire(
            target=self.target,
            incarnation=self.gate.incarnation,
            crashed=False,
            drained=True,
        )
        return self.leader.ask(self._retire_call, retire, now)

    def _queue_outcomes(self, effects: list) -> list:
        out = []
        for effect in effects:
            if isinstance(effect, RecordOutcome):
                self._unreported_outcomes.append(effect.item)
            else:
                out.append(effect)
        return out

    def _next_call(self) -> int:
        self._last_call += 1
        return self._last_call
