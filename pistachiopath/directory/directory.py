"""Directory of replicas, merged from announcements in any order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .replica_state import ReplicaState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.directory import ReplicaRecord

GONE_RETENTION_S = 120.0


class Directory:
    """Keeps the newest record of each replica and numbers the changes.

    Merging is commutative and idempotent.  A later lifetime replaces an earlier
    one, and the state within a lifetime only moves forward.  Of two lifetimes at
    one address only the later one is in use.  `now` is a monotonic clock in
    seconds.
    """

    def __init__(self) -> None:
        self.change = 0
        self._records: dict[str, ReplicaRecord] = {}
        self._changes: dict[str, int] = {}
        self._gone_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, replica: str) -> ReplicaRecord | None:
        """Return a replica's record, or None if it is unknown."""
        return self._records.get(replica)

    def records(self) -> Iterable[ReplicaRecord]:
        """Return all records, including those of replicas that are gone."""
        return self._records.values()

    def since(self, change: int) -> tuple[ReplicaRecord, ...]:
        """Return the records that changed after the change of this number."""
        if change >= self.change:
            return ()
        return tuple(r for k, r in self._records.items() if self._changes[k] > change)

    def merge(self, record: ReplicaRecord, now: float) -> bool:
        """Merge a record; return whether nodes that send work need the change.

        They do not need a new sequence number or warm-up time alone.
        """
        current = self._records.get(record.replica)
        if current is not None:
            merged = _merged(current, record)
        elif self._is_superseded(record):
            merged = attrs.evolve(record, state=ReplicaState.GONE)
        else:
            merged = record
        if merged == current:
            return False
        self._records[record.replica] = merged
        if current is not None and _is_refresh(current, merged):
            return False
        self._note_change(record.replica, now)
        self._end_earlier_at_address(merged, now)
        return True

    def depart(self, replica: str, now: float) -> ReplicaRecord | None:
        """Mark a replica as gone; return its record, or None if it is unknown."""
        current = self._records.get(replica)
        if current is None:
            return None
        self.merge(attrs.evolve(current, state=ReplicaState.GONE), now)
        return self._records[replica]

    def prune(self, now: float) -> None:
        """Delete replicas that have been gone for `GONE_RETENTION_S`."""
        for replica, gone_at in list(self._gone_at.items()):
            if now - gone_at >= GONE_RETENTION_S:
                del self._gone_at[replica]
                del self._records[replica]
                del self._changes[replica]

    def _note_change(self, replica: str, now: float) -> None:
        self.change += 1
        self._changes[replica] = self.change
        if self._records[replica].state == ReplicaState.GONE:
            self._gone_at.setdefault(replica, now)
        else:
            self._gone_at.pop(replica, None)

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
