"""Chooses the replica with nearly the lowest estimated cost for a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..engine_state.avoidance import considered
from ..engine_state.current_work import average_work, current_work
from ..grants.kept_places import kept_places
from ..grants.watch import KnownLoad
from ..messages.directory import ReplicaRecord
from ..messages.grants import GateLoad
from .own_requests import OwnRequests
from .prompt_memory import PromptMemory
from .prompt_part import PromptPart
from .replica_health import ReplicaHealth
from .work_cost import default_work_ms, work_cost

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


FAILURE_PENALTY_MS = 400.0
OTHER_ZONE_PENALTY_MS = 4.0
SILENT_PENALTY_MS = 1500.0
NOT_READY_PENALTY_MS = 60_000.0
UNKNOWN_LOAD_MS = 30.0
# Costs this close to the lowest count as equal, so that entries that see the
# same loads do not all choose the same replica.
NEAR_COST_MS = 30.0
# The same if no load is known, as for services without an engine.
PLAIN_NEAR_COST_MS = 2.0
# Time of a request at a replica without an engine.
PLAIN_REQUEST_MS = 50.0
# Wait for each request of this entry beyond its share of an engine without a gate.
UNGATED_WAIT_MS = 400.0


@attrs.define(kw_only=True, frozen=True)
class Candidate:
    """A replica that a request may be sent to, with its state and load.

    `ungated_places` is how many requests this entry may have at an engine
    whose gate does not answer, so that all entries together do not overload
    it, and `shared_places` how many at all such engines of the service; both
    are 0 for a target without an engine.  `awaits_gate` is set while a
    gate that is not known to be unreachable may still answer.  `last_load` is
    the last reported load at any age, and is used for the engine's speed.
    `memory_share` is the part of one engine's memory, or of several, for which
    places may be granted.
    """

    record: ReplicaRecord
    load: KnownLoad | None
    is_silent: bool
    ungated_places: int = 0
    shared_places: int = 0
    awaits_gate: bool = False
    last_load: GateLoad | None = None
    memory_share: float = 1.0

    def memory_tokens(self, engine_tokens: int) -> int:
        """Return the bound on tokens; each engine holds up to `engine_tokens`."""
        return math.ceil(engine_tokens * self.memory_share)

    @property
    def failure_share(self) -> float | None:
        """Recent share of failed runs, None if it is not known."""
        return self.load.load.failed_per_1000 / 1000 if self.load else None

    @property
    def is_gated(self) -> bool:
        """Return whether a request has to ask the engine's gate for a place."""
        return self.load is not None or self.awaits_gate

    @property
    def needs_place(self) -> bool:
        """Return whether a request has to ask a gate, or this entry, for a place."""
        return self.is_gated or self.shared_places > 0


@attrs.define(kw_only=True, frozen=True)
class Need:
    """The tier, token counts and prompt parts of a request to be placed.

    `is_final_urgent` states that measurements of the engines count: the most urgent
    streams of the service can be sent only once.
    """

    tier: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    is_final_urgent: bool = False


class Placement:
    """Tracks this entry's requests by replica and estimates costs in ms.

    The cost of a replica is the sum of the wait behind requests that are
    served first, the prefill of the prompt tokens that are not cached, a
    share of the engine time, and penalties for failures, another data centre,
    silence and a state other than ready.  `known_entries` returns how many
    entries send prompts.  `now` is the time of a monotonic clock in seconds.
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
        self._own_requests: dict[str, OwnRequests] = {}

    def choose(
        self, candidates: list[Candidate], need: Need, now: float
    ) -> Candidate | None:
        """Return one of the candidates with nearly the lowest cost.

        Replicas that are down are considered only if there are no others.
        """
        reachable = [
            c for c in candidates if not self.health.is_down(c.record.replica, now)
        ]
        candidates = reachable or candidates
        if need.is_final_urgent:
            shares = [c.failure_share for c in candidates]
            candidates = considered(candidates, shares, self._rng)
        if not candidates:
            return None
        cached = self._cached_tokens(candidates, need, now)
        typical_ms = self.typical_wait_ms(candidates, need)
        costs = [
            self.cost(c, need, cached.get(c.record.replica, 0), now, typical_ms)
            for c in candidates
        ]
        near_ms = (
            NEAR_COST_MS if any(c.load for c in candidates) else PLAIN_NEAR_COST_MS
        )
        limit = min(costs) + near_ms
        near = [c for c, cost in zip(candidates, costs, strict=True) if cost <= limit]
        return self._rng.choice(near)

    def typical_wait_ms(self, candidates: list[Candidate], need: Need) -> float:
        """Return the wait expected at an engine whose load is not known.

        It is the average wait at the others plus `UNKNOWN_LOAD_MS`.
        """
        waits = [
            self._wait_ms(c.load, self._own_requests_at(c), need)
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
        *,
        is_placed: bool = False,
    ) -> float:
        """Return the estimated cost of a candidate in milliseconds.

        `typical_ms` is the wait assumed if the load is not known.  With
        `is_placed` the request is one of those of this entry at the candidate.
        """
        record = candidate.record
        own = self._own_requests_at(candidate)
        penalty = self.health.failures(record.replica, now) * FAILURE_PENALTY_MS
        if record.zone != self._zone:
            penalty += OTHER_ZONE_PENALTY_MS
        if candidate.is_silent:
            penalty += SILENT_PENALTY_MS
        if record.state != 'ready':
            penalty += NOT_READY_PENALTY_MS
        if candidate.load is not None:
            return penalty + self._engine_cost(candidate.load, own, need, cached, now)
        if candidate.ungated_places:
            others = own.outstanding - is_placed
            work_ms = self._ungated_cost(candidate, need, cached, others)
            return penalty + typical_ms + work_ms
        slots = max(1, record.slots)
        wait_ms = own.outstanding * PLAIN_REQUEST_MS / slots
        return penalty + wait_ms + UNKNOWN_LOAD_MS

    def has_room(self, candidate: Candidate, need: Need) -> bool:
        """Return whether a request would get a place without waiting."""
        if candidate.load is None:
            return False
        load = candidate.load.load
        ahead = sum(t.waiting for t in load.waiting if t.tier <= need.tier)
        own = self._own_requests_at(candidate)
        unreported = sum(at > candidate.load.received_at for at, _ in own.recent)
        kept = kept_places(need.tier, load.slots)
        return load.running + ahead + unreported < load.slots - kept

    def add_request(self, replica: str, need: Need, now: float) -> None:
        """Record that a request is placed at a replica."""
        own = self._own_requests.setdefault(replica, OwnRequests())
        own.outstanding += 1
        own.recent = [(at, ms) for at, ms in own.recent if now - at < 1.0]
        work_ms = default_work_ms(need.prompt_tokens, need.output_tokens)
        own.recent.append((now, work_ms))

    def remove_request(self, replica: str) -> None:
        """Record that a request is no longer at a replica."""
        own = self._own_requests.get(replica)
        if own is not None:
            own.outstanding -= 1

    def outstanding(self, replica: str) -> int:
        """Return how many requests of this entry are at a replica."""
        own = self._own_requests.get(replica)
        return own.outstanding if own else 0

    def keep_only(self, replicas: set[str]) -> None:
        """Remove the records of all other replicas."""
        self.health.keep_only(replicas)
        for name in [n for n in self._own_requests if n not in replicas]:
            del self._own_requests[name]
            self.memory.forget(name)

    def _own_requests_at(self, candidate: Candidate) -> OwnRequests:
        return self._own_requests.get(candidate.record.replica) or OwnRequests()

    def _ungated_cost(
        self, candidate: Candidate, need: Need, cached: int, others: int
    ) -> float:
        """Estimate the cost without the typical wait if the load is not known.

        `others` is how many other requests of this entry are at the candidate.
        """
        uncached = max(0, need.prompt_tokens - cached)
        speeds = average_work(candidate.last_load)
        work_ms = work_cost(speeds, uncached, need.output_tokens)
        if candidate.awaits_gate:
            return work_ms
        excess = max(0, others + 1 - candidate.ungated_places)
        return work_ms + excess * UNGATED_WAIT_MS

    def _engine_cost(
        self, known: KnownLoad, own: OwnRequests, need: Need, cached: int, now: float
    ) -> float:
        load, beside = known.load, 0.0
        speeds = average_work(load)
        if need.is_final_urgent:
            speeds = current_work(load, now - known.received_at)
            beside = min(1.0, load.running / max(1, load.slots))
        wait_ms = self._wait_ms(known, own, need) * speeds.slowness
        uncached = max(0, need.prompt_tokens - cached)
        return wait_ms + work_cost(speeds, uncached, need.output_tokens, beside)

    @staticmethod
    def _wait_ms(known: KnownLoad, own: OwnRequests, need: Need) -> float:
        """Estimate the wait for a place behind requests that are served first."""
        load = known.load
        unreported = [ms for at, ms in own.recent if at > known.received_at]
        ahead = sum(t.waiting for t in load.waiting if t.tier <= need.tier)
        ahead_ms = sum(t.work_ms for t in load.waiting if t.tier <= need.tier)
        free = load.slots - load.running - ahead - len(unreported)
        if free > 0:
            return 0.0
        return load.free_in_ms + (ahead_ms + sum(unreported)) / max(1, load.slots)

    def _cached_tokens(
        self, candidates: list[Candidate], need: Need, now: float
    ) -> dict[str, int]:
        """Return how many leading tokens each replica has probably cached."""
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
