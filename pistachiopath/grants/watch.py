"""Tracks the loads of engines at an entry."""

from __future__ import annotations

import math

import attrs

from ..effects import Send
from ..messages.grants import GateLoad, WatchLoad
from ..util.rendezvous import by_weight

# A gate takes an entry for gone that sends nothing for 1.5 s.
WATCH_RENEWAL_S = 1.0
# A watched gate that sends nothing for this long is unreachable.
SILENCE_TIMEOUT_S = 4.5
# Runs end within a second, so an older load is of little use.
MAX_LOAD_AGE_S = 1.0
# A reachable gate replies within this time.
REPLY_TIMEOUT_S = 0.3
# The loads of other gates arrive with replies to requests.  The limits keep the
# number of messages that an entry receives independent of the number of engines.
MAX_WATCHED = 6
LOADS_PER_S = 8.0


@attrs.define(kw_only=True)
class KnownLoad:
    """The last load of a gate and the time when it was received."""

    load: GateLoad
    received_at: float


class LoadWatch:
    """Keeps watching some of the gates in use.

    Gates also send their load with their replies to requests, which covers the
    gates that are not watched.  `own_address` determines which gates this entry
    watches, so that entries spread over all of them.
    """

    def __init__(self, *, own_address: str = '') -> None:
        self._own_address = own_address
        self._gates: frozenset[str] = frozenset()
        self._watched: frozenset[str] = frozenset()
        self._loads: dict[str, KnownLoad] = {}
        self._watch_at: dict[str, float] = {}
        # Time until which a load is awaited; -inf for a lost gate.
        self._reply_deadlines: dict[str, float] = {}

    def tick(
        self,
        gates: dict[str, int],
        now: float,
        always_asked: frozenset[str] = frozenset(),
    ) -> list[Send]:
        """Renew the watches that are due.

        `gates` maps the addresses of the gates in use to their slots.  Those in
        `always_asked` are asked for places until they are lost.  The others count as
        unreachable once a load that was due while they were watched is overdue.
        """
        self._update_watched(gates, always_asked)
        effects: list[Send] = []
        for address in self._watched | self._lost_gates():
            self._reply_deadlines.setdefault(address, now + REPLY_TIMEOUT_S)
            if now >= self._watch_at.get(address, 0.0):
                self._watch_at[address] = now + WATCH_RENEWAL_S
                period_ms = int(1000 * len(self._watched) / LOADS_PER_S)
                body = WatchLoad(slots=gates[address], period_ms=period_ms)
                effects.append(Send(to=address, call=0, body=body))
        return effects

    def _update_watched(
        self, gates: dict[str, int], always_asked: frozenset[str]
    ) -> None:
        """Choose the gates to watch anew if the gates in use have changed."""
        if gates.keys() == self._gates:
            return
        self._gates = frozenset(gates)
        ordered = by_weight(self._own_address, gates)
        self._watched = frozenset(ordered[:MAX_WATCHED])
        # No load is due any more from a gate that is not watched.
        self._reply_deadlines = {
            address: deadline
            for address, deadline in self._reply_deadlines.items()
            if address in self._watched
            or address not in always_asked
            or deadline == -math.inf
        }
        for by_address in (self._reply_deadlines, self._watch_at, self._loads):
            for address in [a for a in by_address if a not in gates]:
                del by_address[address]

    def _lost_gates(self) -> set[str]:
        """Return the gates that were lost and have sent no load since."""
        return {a for a, at in self._reply_deadlines.items() if at == -math.inf}

    def record_load(self, gate: str, load: GateLoad, now: float) -> None:
        """Record a load received from a gate."""
        self._loads[gate] = KnownLoad(load=load, received_at=now)
        if gate in self._watched:
            self._reply_deadlines[gate] = now + SILENCE_TIMEOUT_S
        else:
            self._reply_deadlines.pop(gate, None)

    def get(self, gate: str, now: float) -> KnownLoad | None:
        """Return the load of a gate if it is recent, or None."""
        known = self._loads.get(gate)
        if known is None or now - known.received_at >= MAX_LOAD_AGE_S:
            return None
        return known

    def last(self, gate: str) -> GateLoad | None:
        """Return the last load of a gate, however old it is."""
        known = self._loads.get(gate)
        return known.load if known is not None else None

    def knows_any(self, now: float) -> bool:
        """Return whether the load of any gate is known."""
        return any(self.get(gate, now) is not None for gate in self._loads)

    def is_awaited(self, gate: str, now: float) -> bool:
        """Return whether a gate without a recent load may still reply."""
        return now < self._reply_deadlines.get(gate, math.inf)

    def slowest_output_ms(self, now: float) -> float:
        """Return the time per output token of the slowest engine, 0 if unknown."""
        speeds = [
            known.load.ms_per_1000_output_tokens / 1000
            for known in self._loads.values()
            if now - known.received_at < SILENCE_TIMEOUT_S
        ]
        return max(speeds, default=0.0)

    def mark_lost(self, gate: str) -> None:
        """Record that a gate is unreachable."""
        if gate in self._gates:
            self._reply_deadlines[gate] = -math.inf
            self._watch_at.pop(gate, None)
        self._loads.pop(gate, None)
