"""The replicas that an entry may send requests to."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..directory.replica_state import ReplicaState
from ..lifetimes.lifetime_doubts import RESTART_MIN_S
from ..routing.placement import Candidate
from ..streams.service_version import version_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..directory.subscriber import Subscriber
    from ..grants.watch import LoadWatch
    from ..lifetimes.lifetime_doubts import LifetimeDoubts
    from ..lifetimes.restart_watch import RestartWatch
    from ..messages.directory import ReplicaRecord
    from ..routes.route_set import RouteSet
    from ..routes.service import Service
    from ..routing.replica_health import ReplicaHealth
    from ..streams.service_version import ServiceVersion
    from ..util.turn_clock import TurnClock

logger = logging.getLogger(__name__)


# An entry that has heard of control nodes for this long knows the replicas that
# announce themselves.
DIRECTORY_FILL_S = 3.0
# Share of the time for which a draining replica serves, after this entry heard of
# it, in which streams may go on there.
DRAIN_SHARE = 0.5
# Default of `drain_s`.
DRAIN_S = 2.0


class Targets:
    """Combines the directory of replicas, the gates' loads and the configuration.

    The agent beside a replica listens at the replica's own IP address.  A replica
    that drains serves for `drain_s` after it was heard, and one whose connection
    broke takes no resumed stream while `doubts` hold that it may have started
    again.  `turns` tells when a break that is read now may have been, and
    `restarts` is told of all of them.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        loads: LoadWatch,
        agent_port: int,
        routes: Callable[[], RouteSet | None],
        health: ReplicaHealth,
        turns: TurnClock,
        restarts: RestartWatch,
        doubts: LifetimeDoubts,
        drain_s: float = DRAIN_S,
    ) -> None:
        self._subscriber = subscriber
        self._loads = loads
        self._agent_port = agent_port
        self._routes = routes
        self._health = health
        self._turns = turns
        self._restarts = restarts
        self._drain_s = drain_s
        self._doubts = doubts
        self._left: set[tuple[str, int]] = set()
        self._all_gates: dict[frozenset[str], frozenset[str]] = {}
        self._all_gates_key: tuple[int, RouteSet | None] = (0, None)

    def ready(self) -> list[ReplicaRecord]:
        """Return the records of all replicas that accept new requests."""
        return [
            record
            for record in self._subscriber.directory.records()
            if record.state == ReplicaState.READY
        ]

    def present(self) -> set[str]:
        """Return the names of all replicas that are not gone."""
        return {
            record.replica
            for record in self._subscriber.directory.records()
            if record.state != ReplicaState.GONE
        }

    def candidates(
        self, service: str, excluded: set[str], now: float
    ) -> list[Candidate]:
        """Return the replicas of a service that accept new requests."""
        return self._candidates(self.ready(), service, excluded, now)

    def established(
        self, service: str, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates at which a resumable stream may begin.

        More than half of the control nodes know their version, so that it is not
        missed when the stream's caller returns elsewhere.  While no present replica of
        the service has such a version, it begins at any.
        """
        if not self._subscriber.has_unestablished(now):
            return candidates
        usable = {
            version
            for version in {version_of(r) for r in self.ready() if r.service == service}
            if self._subscriber.is_established(version, now)
        }
        if not usable:
            return candidates
        return [c for c in candidates if version_of(c.record) in usable]

    def draining(self, service: str, excluded: set[str], now: float) -> list[Candidate]:
        """Return the replicas of a service that drain and may still go on with streams.

        Those that said so in an answer are left out: it is not known since when.
        """
        records = [
            record
            for record in self._subscriber.directory.records()
            if self._is_draining_lately(record, now)
        ]
        return self._candidates(records, service, excluded, now)

    def _is_draining_lately(self, record: ReplicaRecord, now: float) -> bool:
        if record.state != ReplicaState.DRAINING:
            return False
        since = self._subscriber.directory.draining_since(record.replica)
        has_said_so = (record.replica, record.born_ms) in self._left
        if since is None or has_said_so:
            return False
        return now - since < DRAIN_SHARE * self._drain_s

    def _candidates(
        self,
        records: Iterable[ReplicaRecord],
        service: str,
        excluded: set[str],
        now: float,
    ) -> list[Candidate]:
        found = [
            Candidate(
                record=record,
                load=self._loads.get(self.gate(record), now),
                is_silent=self._subscriber.is_silent(record.replica, now),
                ungated_places=self._ungated_places(record),
                awaits_gate=self._awaits_gate(record, now),
                last_load=self._loads.last(self.gate(record)),
            )
            for record in records
            if record.service == service
            and record.replica not in excluded
            and not self._is_backing_off(record, now)
        ]
        return self._with_shared_places(found)

    def mark_superseded(self, record: ReplicaRecord, now: float) -> None:
        """Mark a lifetime as ended after another one answered at its address.

        A later lifetime of the same replica is not affected.
        """
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return
        self._subscriber.directory.depart(record.replica, now)
        logger.info(
            'replica_superseded',
            extra={'replica': record.replica, 'address': record.address},
        )

    def may_send(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a chosen replica still accepts new requests."""
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return False
        return current.state == ReplicaState.READY and not self._is_backing_off(
            record, now
        )

    def may_resume(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a stream may go on at a chosen replica.

        It may not while the replica may have started again with another version.
        """
        versions = self._subscriber.directory.versions(record.service)
        if len(versions) > 1 and self._doubts.holds(record, now):
            return False
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return False
        if self._is_backing_off(record, now):
            return False
        is_ready = current.state == ReplicaState.READY
        return is_ready or self._is_draining_lately(current, now)

    def doubt(self, record: ReplicaRecord, now: float) -> None:
        """Record that a replica's connection broke or was refused."""
        since = min(now, self._turns.may_have_come_at(now))
        self._doubts.note(record, now, since=since)
        self._restarts.note(record.service, now)

    def closed_early(self, address: str, since: float, now: float) -> None:
        """Record that a connection that was idle since then was closed before its time.

        The replica may have ended, and started again if there was time for that.
        """
        if now - since < RESTART_MIN_S:
            return
        for record in self._subscriber.directory.records():
            if record.address == address:
                self._doubts.note(record, now, since=since)
                self._restarts.note(record.service, now)
                logger.info(
                    'connection_closed_early',
                    extra={
                        'replica': record.replica,
                        'born_ms': record.born_ms,
                        'idle_ms': int((now - since) * 1000),
                    },
                )

    def accepted(self, address: str, now: float) -> None:
        """Record that the replica at an address accepted a connection."""
        for record in self.ready():
            if record.address == address:
                self._doubts.accepted(record, now)

    def is_version_gone(self, version: ServiceVersion, now: float) -> bool:
        """Return whether no replica of a version is left to go on with streams.

        An entry that has just started can't tell.
        """
        if self._subscriber.contact_s(now) < DIRECTORY_FILL_S:
            return False
        return not any(
            version_of(record) == version
            for record in self._subscriber.directory.records()
            if record.state == ReplicaState.READY
            or self._is_draining_lately(record, now)
        )

    def all_gates(self, services: frozenset[str]) -> frozenset[str]:
        """Return the gates of all replicas of services, gone ones included."""
        change, routes = self._subscriber.directory.change, self._routes()
        known_change, known_routes = self._all_gates_key
        if change != known_change or routes is not known_routes:
            self._all_gates_key = (change, routes)
            self._all_gates.clear()
        gates = self._all_gates.get(services)
        if gates is None:
            gates = frozenset(
                self.gate(record)
                for record in self._subscriber.directory.records()
                if record.service in services
                and self._engine_service(record) is not None
            )
            self._all_gates[services] = gates
        return gates

    def first_backoff_end(self, service: str, now: float) -> float | None:
        """Return when the first backoff of a service's replicas ends.

        Returns None if none of them has asked for one.
        """
        ends = [
            self._health.backoff_until(record.replica, record.born_ms)
            for record in self.ready()
            if record.service == service and self._is_backing_off(record, now)
        ]
        return min(ends, default=None)

    def _is_backing_off(self, record: ReplicaRecord, now: float) -> bool:
        return now < self._health.backoff_until(record.replica, record.born_ms)

    def mark_leaving(self, record: ReplicaRecord, now: float) -> bool:
        """Mark a lifetime as draining; return whether that is news.

        Its later announcements do not undo this.
        """
        directory = self._subscriber.directory
        current = directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return False
        if current.state != ReplicaState.READY:
            return False
        self._left = {key for key in self._left if directory.get(key[0])}
        self._left.add((record.replica, record.born_ms))
        return directory.merge(attrs.evolve(current, state=ReplicaState.DRAINING), now)

    def _with_shared_places(self, candidates: list[Candidate]) -> list[Candidate]:
        """Add this entry's share of the places and memory of engines without a gate."""
        ungated = [c for c in candidates if c.ungated_places and not c.is_gated]
        places = sum(self._slots(c.record) for c in ungated)
        if not places:
            return candidates
        entries = max(1, self._subscriber.entries)
        shared, memory_share = math.ceil(places / entries), len(ungated) / entries
        return [
            attrs.evolve(c, shared_places=shared, memory_share=memory_share)
            if c.ungated_places and not c.is_gated
            else c
            for c in candidates
        ]

    def _slots(self, record: ReplicaRecord) -> int:
        service = self._engine_service(record)
        return record.slots or (service.slots if service else 0)

    def _ungated_places(self, record: ReplicaRecord) -> int:
        """Return this entry's share of an engine's places, at least 1.

        A replica without an engine has 0.
        """
        if self._engine_service(record) is None:
            return 0
        return max(1, self._slots(record) // max(1, self._subscriber.entries))

    def _awaits_gate(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether an answer of an engine's gate may still be expected."""
        if self._engine_service(record) is None:
            return False
        return self._loads.is_awaited(self.gate(record), now)

    def _engine_service(self, record: ReplicaRecord) -> Service | None:
        """Return the service of a replica if it has an engine."""
        routes = self._routes()
        service = routes.service(record.service) if routes else None
        return service if service is not None and service.has_engine else None

    def gate(self, record: ReplicaRecord) -> str:
        """Return the address of the agent beside a replica."""
        host = record.address.rpartition(':')[0]
        return f'{host}:{self._agent_port}'

    def gates(self, routes: RouteSet) -> dict[str, int]:
        """Return the number of places of each engine by the address of its gate."""
        gates = {}
        for record in self.ready():
            service = routes.service(record.service)
            if service is not None and service.has_engine:
                gates[self.gate(record)] = record.slots or service.slots
        return gates

    def final_urgent_gates(self, routes: RouteSet) -> frozenset[str]:
        """Return the gates of services whose urgent streams can be sent only once."""
        return frozenset(
            self.gate(record)
            for record in self.ready()
            if routes.is_final_urgent(record.service)
        )
