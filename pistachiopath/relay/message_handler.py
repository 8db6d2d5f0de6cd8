"""Messages that an entry exchanges with control nodes, gates and lenders."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..directory.version_spread import VersionSpread
from ..messages.allowance import AllowanceLeases, Borrowed
from ..messages.directory import News
from ..messages.grants import Denied, GateLoad, Granted
from ..messages.quarantine import CrashMarks
from ..messages.streams import StreamOrigins

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.leased_allowance import LeasedAllowance
    from ..directory.subscriber import Subscriber
    from ..effects import Send
    from ..lifetimes.known_lifetimes import KnownLifetimes
    from ..lifetimes.open_streams import OpenStreams
    from ..lifetimes.restart_watch import RestartWatch
    from ..lifetimes.stream_finder import StreamFinder
    from ..messages.base import Message
    from .crashes import Crashes
    from .gate_link import GateLink
    from .lender_link import LenderLink
    from .rollout_link import RolloutLink
    from .routes_in_force import RoutesInForce
    from .targets import Targets


class MessageHandler:
    """Passes each message to the part of the entry that it concerns.

    Also sends what keeps the control nodes and the gates informed.  `now` is a
    monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        routes: RoutesInForce,
        allowance: LeasedAllowance,
        targets: Targets,
        gates: GateLink,
        finder: StreamFinder,
        open_streams: OpenStreams,
        lender: LenderLink,
        crashes: Crashes,
        lifetimes: KnownLifetimes,
        restarts: RestartWatch,
        send_all: Callable[[list[Send]], None],
        rollouts: RolloutLink | None = None,
    ) -> None:
        self._subscriber = subscriber
        self._routes = routes
        self._allowance = allowance
        self._targets = targets
        self._gates = gates
        self._finder = finder
        self._open_streams = open_streams
        self._lender = lender
        self._crashes = crashes
        self._lifetimes = lifetimes
        self._restarts = restarts
        self._send_all = send_all
        self._rollouts = rollouts
        self._spread = VersionSpread(subscriber=subscriber)

    def handle(self, sender: str, call: int, body: Message) -> None:
        """Handle a message; those that do not concern an entry are ignored."""
        now = time.monotonic()
        match body:
            case News():
                self._handle_news(sender, call, body, now)
            case Granted() | Denied() | GateLoad():
                self._gates.receive(sender, body, now)
            case StreamOrigins():
                self._handle_origins(sender, call, body, now)
            case AllowanceLeases():
                self._lender.handle_leases(sender, body, now)
            case Borrowed():
                self._lender.handle_borrowed(call, body)
            case CrashMarks():
                self._crashes.handle_marks(body, now)

    def _handle_origins(
        self, sender: str, call: int, body: StreamOrigins, now: float
    ) -> None:
        """Pass on what a node knows of streams, or of processes that began them."""
        if body.witnessed:
            self._open_streams.witnessed(sender, call, body.witnessed, now)
        else:
            self._finder.receive(sender, call, body)

    def handle_lost(self, peer: str) -> None:
        """Handle a lost link to another node."""
        self._subscriber.link_lost(peer)
        self._lender.handle_lost(peer)
        self._gates.link_lost(peer)
        self._finder.handle_lost(peer)
        self._open_streams.handle_lost(peer)

    def follow_controls(self, now: float) -> None:
        """Renew the subscriptions at the control nodes that are due."""
        self._send_all(self._subscriber.tick(now) + self._spread.tick(now))

    def watch_gates(self, now: float) -> None:
        """Renew the watches that are due of the gates that the routes lead to."""
        routes = self._routes.current
        if routes is not None:
            gates = self._targets.gates(routes)
            always_asked = self._targets.final_urgent_gates(routes)
            self._send_all(self._gates.watch(gates, now, always_asked))

    def _handle_news(self, sender: str, call: int, body: News, now: float) -> None:
        if self._rollouts is not None:
            # Before routes of the same news, by which requests are admitted.
            self._rollouts.on_news(body, now)
        version = self._subscriber.version
        self._lifetimes.heard(body.records, now)
        for record in body.records:
            self._restarts.note(record.service, now)
        asked_at = self._subscriber.asked_at(sender, call)
        self._lifetimes.answered(body.heard, asked_at, now)
        effects = self._subscriber.on_news(sender, body, now, call=call)
        self._allowance.set_known_entries(self._subscriber.entries)
        if self._subscriber.version != version:
            routes = self._routes.adopt(
                self._subscriber.version, self._subscriber.content
            )
            if routes is not None:
                self._allowance.adopt(routes.customers, now)
        self._send_all(effects)
        if body.records:
            # Requests for a new replica are waiting for the load of its gate.
            self.watch_gates(now)
