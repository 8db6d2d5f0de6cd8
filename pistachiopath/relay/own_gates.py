"""Places before engines whose own gate is out of reach, granted by the entry."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..grants.gate import GrantGate
from ..messages.grants import Ask, ReleasePlace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..effects import Send
    from ..grants.gate_log import GateLog
    from ..messages.base import Message

PREFIX = 'own:'
OWN_NAME = 'own'


class OwnGates:
    """One gate for each service, of this entry's share of the engines' places.

    All entries together then send the engines no more than these can run, and
    each serves its requests by tier, as the gate beside an engine does.  Messages
    to an address of `address` are handled here; replies go to `deliver` with that
    address.
    """

    def __init__(
        self, *, deliver: Callable[[str, Message], None], log: GateLog | None = None
    ) -> None:
        self._deliver = deliver
        self._log = log
        self._gates: dict[str, GrantGate] = {}

    @staticmethod
    def address(service: str) -> str:
        """Return the address of a service's gate in this entry."""
        return PREFIX + service

    def handles(self, address: str) -> bool:
        """Return whether an address is one of a gate in this entry."""
        return address.startswith(PREFIX)

    def send(self, address: str, body: Message) -> None:
        """Handle a request for a place or the release of one."""
        gate = self._gates.setdefault(address, GrantGate(log=self._log))
        now = time.monotonic()
        match body:
            case Ask():
                self._deliver_all(address, gate.ask(OWN_NAME, body, now))
            case ReleasePlace():
                self._deliver_all(address, gate.release(OWN_NAME, body, now))

    def tick(self, now: float) -> None:
        """Run the timers of the gates."""
        for address, gate in self._gates.items():
            self._deliver_all(address, gate.tick(now))

    def _deliver_all(self, address: str, effects: list[Send]) -> None:
        for effect in effects:
            self._deliver(address, effect.body)
