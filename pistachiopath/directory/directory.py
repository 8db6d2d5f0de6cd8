"""Directory of replicas, merged from announcements in any order."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from ..errors.configuration import InvalidConfiguration
from ..streams.service_version import version_of
from ..util.plain_text import shortened
from .record_check import MAX_NAME_CHARS, check_record
from .replica_state import ReplicaState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.directory import ReplicaRecord
    from ..streams.service_version import ServiceVersion

logger = logging.getLogger(__name__)

GONE_RETENTION_S = 120.0


class Directory:
    """Keeps the newest record of each replica and numbers the changes.

    Merging is commutative and idempotent.  A later lifetime replaces an earlier
    one, and the state within a lifetime only moves forward.  Of two lifetimes at
    one address only the later one is in use.  An earlier lifetime of a replica
    that ran another software version is kept as a gone replica with a name of its
    own.  A record that can't be sent or used is left out and counted in
    `left_out`: other nodes may run a build that accepts it.  `now` is a monotonic
    clock in seconds.
    """

    def __init__(self) -> None:
        self.change = 0
        self.left_out = 0
        self._records: dict[str, ReplicaRecord] = {}
        self._changes: dict[str, int] = {}
        self._gone_at: dict[str, float] = {}
        self._draining_since: dict[str, float] = {}
        self._versions: dict[str, set[ServiceVersion]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, replica: str) -> bool:
        return replica in self._records

    def get(self, replica: str) -> ReplicaRecord | None:
        """Return a replica's record, or None if it is unknown."""
        return self._records.get(replica)

    def records(self) -> Iterable[ReplicaRecord]:
        """Return all records, including those of replicas that are gone."""
        return self._records.values()

    def versions(self, service: str) -> frozenset[ServiceVersion]:
        """Return the versions of a service's replicas, gone ones included."""
        return frozenset(self._by_service().get(service, ()))

    def all_versions(self) -> frozenset[ServiceVersion]:
        """Return the versions of all services' replicas, gone ones included."""
        return frozenset().union(*self._by_service().values())

    def _by_service(self) -> dict[str, set[ServiceVersion]]:
        if not self._versions:
            for record in self._records.values():
                version = version_of(record)
                self._versions.setdefault(version.service, set()).add(version)
        return self._versions

    def draining_since(self, replica: str) -> float | None:
        """Return when a replica that was ready was first heard to be draining."""
        return self._draining_since.get(replica)

    def since(self, change: int) -> tuple[ReplicaRecord, ...]:
        """Return the records that changed after the change of this number."""
        if change >= self.change:
            return ()
        return tuple(r for k, r in self._records.items() if self._changes[k] > change)

    def merge(self, record: ReplicaRecord, now: float) -> bool:
        """Merge a record; return whether nodes that send work need the change.

        They do not need a new sequence number or warm-up time alone.
        """
        if not self._is_usable(record):
            return False
        current = self._records.get(record.replica)
        if current is None:
            if self._is_superseded(record):
                record = attrs.evolve(record, state=ReplicaState.GONE)
            self._put(record, now)
            return True
        has_kept = self._keep_earlier_lifetime(current, record, now)
        return self._update(current, _merged(current, record), now) or has_kept

    def depart(
        self, replica: str, now: float, *, born_ms: int = 0
    ) -> ReplicaRecord | None:
        """Mark a replica as gone; return its record, or None if it is unknown.

        A lifetime that began after `born_ms` stays; 0 means any lifetime.
        """
        current = self._records.get(replica)
        if current is None or 0 < born_ms < current.born_ms:
            return current
        self.merge(attrs.evolve(current, state=ReplicaState.GONE), now)
        return self._records[replica]

    def prune(self, now: float) -> bool:
        """Delete replicas that have been gone for `GONE_RETENTION_S`.

        Return whether there were any.
        """
        old = [r for r, at in self._gone_at.items() if now - at >= GONE_RETENTION_S]
        for replica in old:
            del self._gone_at[replica]
            del self._records[replica]
            del self._changes[replica]
            self._draining_since.pop(replica, None)
        if old:
            self._versions.clear()
        return bool(old)

    def _update(
        self, current: ReplicaRecord, merged: ReplicaRecord, now: float
    ) -> bool:
        if merged == current:
            return False
        if _is_refresh(current, merged):
            self._records[merged.replica] = merged
            return False
        self._note_drain(current, merged, now)
        self._put(merged, now)
        return True

    def _put(self, record: ReplicaRecord, now: float) -> None:
        self._records[record.replica] = record
        self._note_change(record.replica, now)
        self._end_earlier_at_address(record, now)

    def _keep_earlier_lifetime(
        self, current: ReplicaRecord, record: ReplicaRecord, now: float
    ) -> bool:
        """Keep the earlier of two lifetimes of a replica if it ran other software."""
        earlier, later = sorted((current, record), key=lambda r: r.born_ms)
        if earlier.born_ms == later.born_ms or version_of(earlier) == version_of(later):
            return False
        suffix = f'@{earlier.born_ms}'
        name = earlier.replica[: MAX_NAME_CHARS - len(suffix)] + suffix
        ended = attrs.evolve(earlier, replica=name, state=ReplicaState.GONE)
        return name not in self._records and self.merge(ended, now)

    def _is_usable(self, record: ReplicaRecord) -> bool:
        try:
            check_record(record)
        except InvalidConfiguration as exc:
            self.left_out += 1
            logger.warning(
                'replica_left_out',
                extra={
                    'replica': shortened(record.replica),
                    'reason': str(exc),
                    'left_out': self.left_out,
                },
            )
            return False
        return True

    def _note_change(self, replica: str, now: float) -> None:
        self.change += 1
        self._changes[replica] = self.change
        self._versions.clear()
        if self._records[replica].state == ReplicaState.GONE:
            self._gone_at.setdefault(replica, now)
        else:
            self._gone_at.pop(replica, None)

    def _note_drain(
        self, current: ReplicaRecord, merged: ReplicaRecord, now: float
    ) -> None:
        is_same_lifetime = current.born_ms == merged.born_ms
        if not is_same_lifetime or merged.state != ReplicaState.DRAINING:
            self._draining_since.pop(merged.replica, None)
        elif current.state == ReplicaState.READY:
            self._draining_since[merged.replica] = now

    def _is_superseded(self, record: ReplicaRecord) -> bool:
        """Return whether a later lifetime at the record's address is known."""
        return any(
            other.address == record.address and other.born_ms > record.born_ms
            for other in self._records.values()
        )

    def _end_earlier_at_address(self, record: ReplicaRecord, now: float) -> None:
        for other in list(self._records.values()):
            earlier = other.born_ms < record.born_ms
            if other.address == record.address and earlier:
                self.depart(other.replica, now)


def _merged(current: ReplicaRecord, record: ReplicaRecord) -> ReplicaRecord:
    if record.born_ms != current.born_ms:
        return record if record.born_ms > current.born_ms else current
    newer = record if record.sequence > current.sequence else current
    older = current if newer is record else record
    states = (ReplicaState(current.state), ReplicaState(record.state))
    return attrs.evolve(
        newer,
        state=max(states, key=lambda s: s.rank),
        # Nodes of an older build pass records on without it.
        software_version=newer.software_version or older.software_version,
    )


def _is_refresh(old: ReplicaRecord, new: ReplicaRecord) -> bool:
    return attrs.evolve(new, sequence=old.sequence, warmup_ms=old.warmup_ms) == old
