"""An entry, which relays requests of callers to replicas."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..admission.leased_allowance import LeasedAllowance
from ..directory.subscriber import Subscriber
from ..exchange.limits import ExchangeLimits, no_body
from ..exchange.pool import ConnectionPool
from ..exchange.server import HttpServer
from ..grants.gate_log import GateLog
from ..lifetimes.continuations import Continuations
from ..lifetimes.known_lifetimes import KnownLifetimes
from ..lifetimes.lifetime_doubts import LifetimeDoubts
from ..lifetimes.open_processes import OpenProcesses
from ..lifetimes.open_streams import NOTE_INTERVAL_S, OpenStreams
from ..lifetimes.process_spans import ProcessSpans
from ..lifetimes.restart_watch import RestartWatch
from ..lifetimes.stream_finder import StreamFinder
from ..lifetimes.version_deduction import VersionDeduction
from ..quarantine.crash_watch import CrashWatch
from ..routing.placement import Placement
from ..startup.knowledge import Subject
from ..startup.waits import StartupWaits
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from ..util.loop_failures import LoopFailures
from ..util.loop_part import LoopPart
from ..util.periodic_loop import PeriodicLoop
from ..util.turn_clock import TurnClock
from .admitter import Admitter
from .crashes import Crashes
from .departure import Departure
from .dispatcher import Dispatcher
from .gate_link import GateLink
from .lender_link import LenderLink
from .message_handler import MessageHandler
from .notices import Notices
from .origin_search import OriginSearch
from .patience import patience_s
from .placer import Placer
from .planned_stop import PlannedStop
from .request_handler import RequestHandler
from .request_log import RequestLog
from .retries import Retries
from .routes_in_force import RoutesInForce
from .settings import LINK_SECRET
from .stream_versions import StreamVersions
from .targets import Targets

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..exchange.request import HttpRequest
    from ..exchange.server_connection import ServerConnection
    from ..messages.base import Message
    from ..routes.route_set import RouteSet
    from ..telemetry.metrics import Metrics
    from ..telemetry.spans import Spans
    from .dialect import Dialect
    from .rollout_link import RolloutLink
    from .settings import RelaySettings

TICK_S = 0.05
PRUNE_INTERVAL_S = 1.0
# A link without traffic for longer is reopened.
LINK_SILENCE_S = 1.5
# A replica that starts again has announced itself within this many periods.
DOUBT_PERIODS = 3


class RelayEntry:
    """Wires the parts of an entry and runs its timers.

    `decode` is provided by the adapter and turns the configuration document
    into routes.
    """

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        dialect: Dialect,
        decode: Callable[[bytes], RouteSet],
        metrics: Metrics,
        spans: Spans,
        rng: random.Random,
    ) -> None:
        self._routes = RoutesInForce(decode=decode)
        self._cfg = cfg
        self._metrics = metrics
        self._subscriber = Subscriber(is_entry=True, own_address=cfg.node_address)
        self._subscriber.set_seeds(cfg.seeds, time.monotonic())
        started_ms = int(time.time() * 1000)
        failures = LoopFailures(metrics=metrics)
        self._allowance = LeasedAllowance(started_ms=started_ms)
        self._network = Network(
            identity=Identity(
                name=cfg.node_address, role=ROLE_NODE, secrets={ROLE_NODE: LINK_SECRET}
            ),
            on_message=self._handle_message,
            on_lost=lambda peer: self._messages.handle_lost(peer),
            silence_s=LINK_SILENCE_S,
            failures=failures,
        )
        self._gates = GateLink(
            own_address=cfg.node_address,
            send=self._network.send,
            log=GateLog(metrics=metrics),
        )
        self._turns = TurnClock()
        restarts = RestartWatch(started_at=time.monotonic())
        doubts = LifetimeDoubts(doubt_s=DOUBT_PERIODS * cfg.announce_s)
        self._process_spans = ProcessSpans()
        self._departure = Departure(grace_s=cfg.grace_s, loads=self._gates.loads)
        self._pool = ConnectionPool(
            request_id_header=dialect.request_id_header,
            on_accepted=lambda address: self._targets.accepted(
                address, time.monotonic()
            ),
            on_closed_early=lambda address, since: self._targets.closed_early(
                address, since, time.monotonic()
            ),
            on_heard=self._process_spans.heard,
        )
        self._placement = Placement(
            zone=cfg.zone, rng=rng, known_entries=lambda: self._subscriber.entries
        )
        self._targets = Targets(
            subscriber=self._subscriber,
            loads=self._gates.loads,
            agent_port=cfg.agent_port,
            routes=lambda: self._routes.current,
            health=self._placement.health,
            turns=self._turns,
            restarts=restarts,
            doubts=doubts,
            drain_s=cfg.drain_s,
        )
        self._rollouts = self._rollout_link(rng, session=started_ms)
        self._lifetimes = KnownLifetimes(
            subscriber=self._subscriber,
            spans=self._process_spans,
            doubts=doubts,
        )
        self._continuations = Continuations(
            lifetimes=self._lifetimes,
            ask=lambda replicas, now: self._network.send_all(
                self._subscriber.ask(replicas, now)
            ),
            announce_s=cfg.announce_s,
        )
        self._finder = StreamFinder(send=self._network.send)
        self._open_streams = OpenStreams(
            own_address=cfg.node_address,
            subscriber=self._subscriber,
            restarts=restarts,
            send=self._network.send,
            metrics=metrics,
            processes=OpenProcesses(spans=self._process_spans),
        )
        search = OriginSearch(
            subscriber=self._subscriber,
            targets=self._targets,
            finder=self._finder,
            lifetimes=self._lifetimes,
            deduction=VersionDeduction(
                subscriber=self._subscriber,
                lifetimes=self._lifetimes,
                accepts=self._pool.accepts,
                quiet_s=DOUBT_PERIODS * cfg.announce_s,
            ),
            continuations=self._continuations,
        )
        self._versions = StreamVersions(
            search=search,
            open_streams=self._open_streams,
            continuations=self._continuations,
            turns=self._turns,
            metrics=metrics,
        )
        self._notices = Notices(
            dialect=dialect,
            targets=self._targets,
            health=self._placement.health,
            metrics=metrics,
        )
        self._lender = LenderLink(
            subscriber=self._subscriber,
            allowance=self._allowance,
            send=self._network.send,
            session=started_ms,
        )
        self._crashes = Crashes(
            watch=CrashWatch(node=cfg.node_address),
            subscriber=self._subscriber,
            broadcast=self._lender.broadcast,
            refuses=self._pool.refuses,
        )
        self._messages = MessageHandler(
            subscriber=self._subscriber,
            routes=self._routes,
            allowance=self._allowance,
            targets=self._targets,
            gates=self._gates,
            finder=self._finder,
            open_streams=self._open_streams,
            lender=self._lender,
            crashes=self._crashes,
            lifetimes=self._lifetimes,
            restarts=restarts,
            send_all=self._network.send_all,
            rollouts=self._rollouts,
        )
        self._startup = StartupWaits(
            routes=self._routes,
            ready_services=lambda: (r.service for r in self._targets.ready()),
            checks={
                Subject.GATE: self._gates.loads.knows_any,
                Subject.ALLOWANCE: self._allowance.is_leased,
            },
            patience_s=patience_s,
            metrics=metrics,
            started_at=time.monotonic(),
        )
        dispatcher = Dispatcher(
            dialect=dialect,
            pool=self._pool,
            places=self._gates.places,
            placement=self._placement,
            placer=Placer(
                places=self._gates.places,
                placement=self._placement,
                targets=self._targets,
                is_quarantined=self._crashes.is_quarantined,
                rng=rng,
                check_wait=self._departure.check_unsent,
                is_at_work=self._lifetimes.is_at_work,
                await_replica=self._startup.await_replica,
                rollouts=self._rollouts,
                established=self._targets.established,
            ),
            retries=Retries(
                limits=cfg.retry_budget,
                known_entries=lambda: self._subscriber.entries,
                crashes=self._crashes,
            ),
            crashes=self._crashes,
            notices=self._notices,
            versions=self._versions,
            continuations=self._continuations,
            rollouts=self._rollouts,
        )
        self._handler = RequestHandler(
            dialect=dialect,
            routes=self._routes,
            admitter=Admitter(
                allowance=self._allowance,
                borrow=self._lender.borrow,
                rng=rng,
                startup=self._startup,
            ),
            departure=self._departure,
            crashes=self._crashes,
            versions=self._versions,
            dispatcher=dispatcher,
            log=RequestLog(metrics=metrics),
            spans=spans,
            startup=self._startup,
        )
        self._server = HttpServer(
            address=cfg.callers_address,
            handle=self._handler.handle,
            limits=lambda: self._routes.limits,
            name='callers',
        )
        self._stop = PlannedStop(server=self._server, departure=self._departure)
        self._readiness = HttpServer(
            address=cfg.readiness_address,
            handle=self._handle_readiness,
            limits=ExchangeLimits,
            name='readiness',
            body_limit=no_body,
        )
        self._timers = PeriodicLoop(
            name='entry_timers',
            interval_s=TICK_S,
            parts=[*self._tick_parts(), *self._prune_parts()],
            failures=failures,
        )

    def _rollout_link(self, rng: random.Random, *, session: int) -> RolloutLink | None:
        """Return the entry's part in rollouts; it is imported only where it is on."""
        if self._cfg.rollouts is None:
            return None
        from .rollout_link import make_rollout_link

        return make_rollout_link(
            bounds=self._cfg.rollouts,
            rng=rng,
            session=session,
            ready=self._targets.ready,
            is_silent=self._subscriber.is_silent,
            main=self._subscriber.main,
            send=self._network.send,
            metrics=self._metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        if self._departure.is_stopping or self._routes.current is None:
            return False
        return any(True for _ in self._targets.ready())

    def start(self) -> None:
        """Listen, and start to follow the control nodes."""
        self._network.listen(self._cfg.listen_address or self._cfg.node_address)
        self._readiness.start()
        self._server.start()
        self._timers.start()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Also follow the control nodes at these addresses."""
        self._subscriber.set_seeds(seeds, time.monotonic())

    def stop(self) -> None:
        """Leave the load balancer's rotation, finish open requests, then close."""
        self._startup.stop()
        self._stop.run()
        self._network.close(drain_s=0.1)

    def _handle_message(self, sender: str, call: int, body: Message) -> None:
        self._messages.handle(sender, call, body)
        self._startup.look(time.monotonic())

    def _handle_readiness(self, conn: ServerConnection, _req: HttpRequest) -> None:
        conn.respond(200 if self.is_ready else 503, [], b'')

    # Timers

    def _tick_parts(self) -> list[LoopPart]:
        return [
            LoopPart(name='turns', run=self._turns.turn),
            LoopPart(name='startup', run=self._startup.look),
            LoopPart(name='controls', run=self._messages.follow_controls),
            LoopPart(name='gates', run=self._messages.watch_gates),
            LoopPart(name='own_gates', run=self._gates.tick_own_gates),
            LoopPart(name='lender', run=self._lender.tick),
            LoopPart(name='crashes', run=self._crashes.tick),
            LoopPart(name='continuations', run=self._continuations.tick),
            LoopPart(
                name='open_streams',
                run=self._open_streams.tick,
                interval_s=NOTE_INTERVAL_S,
            ),
            *(self._rollouts.parts() if self._rollouts else ()),
        ]

    def _prune_parts(self) -> list[LoopPart]:
        run_by_name = {
            'metrics': self._set_metrics,
            'pool': self._pool.prune,
            'process_spans': self._process_spans.prune,
            'lifetimes': self._lifetimes.prune,
            'placement': self._prune_placement,
            'notices': self._notices.prune,
        }
        return [
            LoopPart(name=name, run=run, interval_s=PRUNE_INTERVAL_S)
            for name, run in run_by_name.items()
        ]

    def _set_metrics(self, now: float) -> None:
        self._metrics.set('connections', self._server.connections)
        self._metrics.set('connections_opened_total', self._pool.opened)
        self._metrics.set('in_flight', self._handler.in_flight)
        self._metrics.set('replicas_ready', len(self._targets.ready()))
        self._metrics.set('controls_live', self._subscriber.live_controls(now))

    def _prune_placement(self, _now: float) -> None:
        self._placement.keep_only(self._targets.present())
