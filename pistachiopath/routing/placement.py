"""Chooses a replica for a request by its estimated cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..grants.kept_places import kept_places
from ..grants.watch import KnownLoad
from ..messages.directory import ReplicaRecord
from ..messages.grants import GateLoad
from .prompt_memory import PromptMemory
from .prompt_part import PromptPart
from .replica_health import ReplicaHealth

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


FAILURE_MS = 400.0
OTHER_ZONE_MS = 4.0
SILENT_MS = 1500.0
DRAINING_MS = 60_000.0
UNKNOWN_LOAD_MS = 30.0
# Engine time counts besides the wait: it is taken from other requests.
WORK_WEIGHT = 0.3
# Entries that see the same loads must not all choose the same replica.
NEAR_MS = 30.0
PLAIN_NEAR_MS = 2.0
DEFAULT_PROMPT_MS = 0.03
DEFAULT_OUTPUT_MS = 1.0
PLAIN_WORK_MS = 50.0
# A wait behind this entry's own requests at an engine without a gate.
UNGATED_WAIT_MS = 400.0


@attrs.define(kw_only=True, frozen=True)
class Candidate:
    """A replica that may get a request, with what is known of it.

    `ungated_places` is how many requests this entry may have at an engine
    whose gate does not answer, so that all entries together do not fill it;
    0 for a target without an engine.  `awaits_gate` is set while a gate that
    is not known to be out of reach may still answer.  `last_load` is the last
    load however old: it tells the engine's speed.
    """

    record: ReplicaRecord
    load: KnownLoad | None
    is_silent: bool
    ungated_places: int = 0
    awaits_gate: bool = False
    last_load: GateLoad | None = None

    @property
    def is_gated(self) -> bool:
        """Tell whether a request has to ask the gate for a place."""
        return self.load is not None or self.awaits_gate


@attrs.define(kw_only=True, frozen=True)
class Need:
    """What a request needs of a replica."""

    tier: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


@attrs.define(kw_only=True)
class _Own:
    """Requests of this entry at a replica that no load report shows yet."""

    outstanding: int = 0
    asked: list[tuple[float, float]] = attrs.field(factory=list)


class Placement:
    """Keeps what this entry has sent where, and estimates costs in ms.

    The cost is the wait behind what goes first, the prompt that has to be
    read, a part of the engine's time, and penalties for what is doubtful.
    `known_entries` tells how many entries send prompts; `now` is a monotonic
    clock in seconds.
    """

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random,
        known_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self._known_entries = known_entries
        self.health = ReplicaHealth()
        self.memory = PromptMemory()
        self._zone = zone
        self._rng = rng
        self._own: dict[str, _Own] = {}

    def choose(
        self, candidates: list[Candidate], need: Need, now: float
    ) -> Candidate | None:
        """Return one of the cheapest candidates."""
        reachable = [
            c for c in candidates if not self.health.is_down(c.record.replica, now)
        ]
        candidates = reachable or candidates
        if not candidates:
            return None
        cached = self._cached_tokens(candidates, need, now)
        typical_ms = self.typical_wait_ms(candidates, need)
        costs = [
            self.cost(c, need, cached.get(c.record.replica, 0), now, typical_ms)
            for c in candidates
        ]
        near_ms = NEAR_MS if any(c.load for c in candidates) else PLAIN_NEAR_MS
        limit = min(costs) + near_ms
        near = [c for c, cost in zip(candidates, costs, strict=True) if cost <= limit]
        return self._rng.choice(near)

    def typical_wait_ms(self, candidates: list[Candidate], need: Need) -> float:
        """Return the wait to expect at an engine whose load is not known.

        It is probably like the others.
        """
        waits = [
            self._wait_ms(c.load, self._own_of(c), need)
            for c in candidates
            if c.load is not None
        ]
        return UNKNOWN_LOAD_MS + sum(waits) / max(1, len(waits))

    def cost(
        self,
        candidate: Candidate,
        need: Need,
        cached: int,
        now: float,
        typical_ms: float = UNKNOWN_LOAD_MS,
    ) -> float:
        """Return the estimated cost of a candidate in milliseconds.

        `typical_ms` is the wait where the load is not known.
        """
        record = candidate.record
        own = self._own_of(candidate)
        penalty = self.health.failures(record.replica, now) * FAILURE_MS
        if record.zone != self._zone:
            penalty += OTHER_ZONE_MS
        if candidate.is_silent:
            penalty += SILENT_MS
        if record.state != 'ready':
            penalty += DRAINING_MS
        if candidate.load is not None:
            return penalty + self._engine_cost(candidate.load, own, need, cached)
        if candidate.ungated_places:
            return penalty + typical_ms + self._ungated_cost(candidate, need, cached)
        slots = max(1, record.slots)
        waiting_ms = own.outstanding * PLAIN_WORK_MS / slots
        return penalty + waiting_ms + UNKNOWN_LOAD_MS

    def has_room(self, candidate: Candidate, need: Need) -> bool:
        """Tell whether a request would get a place without waiting."""
        if candidate.load is None:
            return False
        load = candidate.load.load
        ahead = sum(t.waiting for t in load.waiting if t.tier <= need.tier)
        own = self._own_of(candidate)
        unseen = sum(at > candidate.load.received_at for at, _ in own.asked)
        kept = kept_places(need.tier, load.slots)
        return load.running + ahead + unseen < load.slots - kept

    def asked(self, replica: str, need: Need, now: float) -> None:
        """Take note of a request for a place."""
        own = self._own.setdefault(replica, _Own())
        own.outstanding += 1
        own.asked = [(at, ms) for at, ms in own.asked if now - at < 1.0]
        work_ms = (
            need.prompt_tokens * DEFAULT_PROMPT_MS
            + need.output_tokens * DEFAULT_OUTPUT_MS
        )
        own.asked.append((now, work_ms))

    def left(self, replica: str) -> None:
        """Take note that a request is not at a replica any more."""
        own = self._own.get(replica)
        if own is not None:
            own.outstanding -= 1

    def outstanding(self, replica: str) -> int:
        """Return how many requests of this entry are at a replica."""
        own = self._own.get(replica)
        return own.outstanding if own else 0

    def keep_only(self, replicas: set[str]) -> None:
        """Forget all other replicas."""
        self.health.keep_only(replicas)
        for name in [n for n in self._own if n not in replicas]:
            del self._own[name]
            self.memory.forget(name)

    def _own_of(self, candidate: Candidate) -> _Own:
        return self._own.get(candidate.record.replica) or _Own()

    def _ungated_cost(self, candidate: Candidate, need: Need, cached: int) -> float:
        """Estimate the cost beside the wait where the load is not known."""
        work_ms = self._work_cost(candidate.last_load, need, cached)
        if candidate.awaits_gate:
            return work_ms
        own = self._own_of(candidate)
        beyond = max(0, own.outstanding + 1 - candidate.ungated_places)
        return work_ms + beyond * UNGATED_WAIT_MS

    def _engine_cost(
        self, known: KnownLoad, own: _Own, need: Need, cached: int
    ) -> float:
        wait_ms = self._wait_ms(known, own, need)
        return wait_ms + self._work_cost(known.load, need, cached)

    @staticmethod
    def _work_cost(load: GateLoad | None, need: Need, cached: int) -> float:
        """Estimate the cost of the work at the speeds that a gate has told."""
        fresh = max(0, need.prompt_tokens - cached)
        prompt_ms = fresh * DEFAULT_PROMPT_MS
        output_ms = need.output_tokens * DEFAULT_OUTPUT_MS
        if load is not None:
            prompt_ms = fresh * load.ms_per_1000_prompt_tokens / 1000
            output_ms = need.output_tokens * load.ms_per_1000_output_tokens / 1000
        return prompt_ms + WORK_WEIGHT * (prompt_ms + output_ms)

    @staticmethod
    def _wait_ms(known: KnownLoad, own: _Own, need: Need) -> float:
        """Estimate the wait for a place behind what goes first."""
        load = known.load
        unseen = [ms for at, ms in own.asked if at > known.received_at]
        ahead = sum(t.waiting for t in load.waiting if t.tier <= need.tier)
        ahead_ms = sum(t.work_ms for t in load.waiting if t.tier <= need.tier)
        free = load.slots - load.running - ahead - len(unseen)
        if free > 0:
            return 0.0
        return load.free_in_ms + (ahead_ms + sum(unseen)) / max(1, load.slots)

    def _cached_tokens(
        self, candidates: list[Candidate], need: Need, now: float
    ) -> dict[str, int]:
        """Return how many leading tokens each replica probably holds."""
        if not need.parts:
            return {}
        names = [c.record.replica for c in candidates]
        cached = {
            name: self.memory.cached_tokens(name, need.parts, now) for name in names
        }
        parts, tokens = self.memory.home_tokens(need.parts, self._known_entries())
        if parts:
            home = self.memory.home(names, parts)
            cached[home] = max(cached[home], tokens)
        return cached
