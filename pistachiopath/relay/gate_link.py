"""An entry's requests for places, at the engines' gates and at its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..grants.watch import LoadWatch
from ..messages.grants import GateLoad
from .held_places import HeldPlaces
from .own_gates import OwnGates
from .places import Places

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..effects import Send
    from ..grants.gate_log import GateLog
    from ..messages.base import Message


class GateLink:
    """Connects the places of an entry with the gates that grant them.

    `send` sends a message to the gate beside an engine without a delivery
    guarantee.  Messages to the entry's own gates stay here.
    """

    def __init__(
        self,
        *,
        own_address: str,
        send: Callable[[str, int, Message], None],
        log: GateLog,
    ) -> None:
        self._send = send
        self._own_gates = OwnGates(deliver=self._deliver, log=log)
        self.loads = LoadWatch(own_address=own_address)
        self._held = HeldPlaces()
        self.places = Places(
            send=self._send_to_gate, on_silent=self.loads.mark_lost, held=self._held
        )

    def tick_own_gates(self, now: float) -> None:
        """Run the timers of the gates in this entry."""
        self._own_gates.tick(now)

    def watch(
        self,
        gates: dict[str, int],
        now: float,
        always_asked: frozenset[str] = frozenset(),
    ) -> list[Send]:
        """Renew watches, and name held places to gates that may have lost them.

        `gates` maps the addresses in use to their places; those in `always_asked` are
        asked for places until they are lost.
        """
        watches = self.loads.tick(gates, now, always_asked)
        return watches + self._held.tick(now)

    def receive(self, gate: str, body: Message, now: float) -> None:
        """Handle a message of the gate beside an engine."""
        if isinstance(body, GateLoad):
            self.loads.record_load(gate, body, now)
        self._deliver(gate, body)

    def link_lost(self, gate: str) -> None:
        """Handle a lost connection to a gate."""
        self.loads.mark_lost(gate)
        self.places.handle_lost(gate)
        self._held.handle_lost(gate)

    def _send_to_gate(self, gate: str, call: int, body: Message) -> None:
        if self._own_gates.handles(gate):
            self._own_gates.send(gate, body)
        else:
            self._send(gate, call, body)

    def _deliver(self, gate: str, body: Message) -> None:
        if isinstance(body, GateLoad):
            self.places.handle_load(gate)
        else:
            self.places.handle_reply(gate, body)
