"""Loads of engines as one entry knows them."""

from __future__ import annotations

import math

import attrs

from ..effects import Send
from ..messages.grants import GateLoad, WatchLoad
from ..util.rendezvous import by_weight

WATCH_S = 2.0
# A watched gate that says nothing for so long is out of reach.
FRESH_S = 4.5
# An older load says little: runs end within a second.
USABLE_S = 1.0
# A gate that is there answers whoever asks it within this time.
ANSWER_S = 0.3
# The rest is known from the answers to requests: what an entry hears does not
# grow with the number of engines.
MAX_WATCHED = 6
LOADS_PER_S = 8.0


@attrs.define(kw_only=True)
class KnownLoad:
    """The last load of a gate and when it was heard."""

    load: GateLoad
    heard_at: float


class LoadWatch:
    """Keeps watching some gates of the engines in use.

    Gates tell their load with every word to a request as well, so those that
    are not watched are known from what was asked there.  `own_address` decides
    which gates this entry watches: entries spread over all of them.
    """

    def __init__(self, *, own_address: str = '') -> None:
        self._own_address = own_address
        self._gates: frozenset[str] = frozenset()
        self._watched: frozenset[str] = frozenset()
        self._loads: dict[str, KnownLoad] = {}
        self._watch_at: dict[str, float] = {}
        self._answers_by: dict[str, float] = {}

    def tick(self, gates: dict[str, int], now: float) -> list[Send]:
        """Ask the gates, given by address with their slots, when it is time."""
        self._choose(gates)
        effects: list[Send] = []
        for address in self._watched | self._silent():
            self._answers_by.setdefault(address, now + ANSWER_S)
            if now >= self._watch_at.get(address, 0.0):
                self._watch_at[address] = now + WATCH_S
                period_ms = int(1000 * len(self._watched) / LOADS_PER_S)
                body = WatchLoad(slots=gates[address], period_ms=period_ms)
                effects.append(Send(to=address, call=0, body=body))
        return effects

    def _choose(self, gates: dict[str, int]) -> None:
        """Choose the gates to watch where others have come or gone."""
        if gates.keys() == self._gates:
            return
        self._gates = frozenset(gates)
        ordered = by_weight(self._own_address, gates)
        self._watched = frozenset(ordered[:MAX_WATCHED])
        for known in (self._answers_by, self._watch_at, self._loads):
            for address in [a for a in known if a not in gates]:
                del known[address]

    def _silent(self) -> set[str]:
        """Return the gates that were lost and not heard since."""
        return {a for a, by in self._answers_by.items() if by == -math.inf}

    def heard(self, gate: str, load: GateLoad, now: float) -> None:
        """Take in a load."""
        self._loads[gate] = KnownLoad(load=load, heard_at=now)
        if gate in self._watched:
            self._answers_by[gate] = now + FRESH_S
        else:
            self._answers_by.pop(gate, None)

    def get(self, gate: str, now: float) -> KnownLoad | None:
        """Return the load of a gate if it is recent, or None."""
        known = self._loads.get(gate)
        if known is None or now - known.heard_at >= USABLE_S:
            return None
        return known

    def last(self, gate: str) -> GateLoad | None:
        """Return the last load of a gate, however old it is."""
        known = self._loads.get(gate)
        return known.load if known is not None else None

    def is_awaited(self, gate: str, now: float) -> bool:
        """Tell whether a gate whose load is not known may be there all the same."""
        return now < self._answers_by.get(gate, math.inf)

    def slowest_output_ms(self, now: float) -> float:
        """Return the time for a token at the slowest engine, 0 if unknown."""
        speeds = [
            known.load.ms_per_1000_output_tokens / 1000
            for known in self._loads.values()
            if now - known.heard_at < FRESH_S
        ]
        return max(speeds, default=0.0)

    def lost(self, gate: str) -> None:
        """Take note that a gate is out of reach."""
        if gate in self._gates:
            self._answers_by[gate] = -math.inf
            self._watch_at.pop(gate, None)
        self._loads.pop(gate, None)
