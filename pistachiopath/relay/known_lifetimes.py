"""Which lifetime of a replica a connection leads to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..directory.replica_state import ReplicaState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..directory.subscriber import Subscriber
    from ..messages.directory import HeardLifetime, ReplicaRecord
    from .process_spans import ProcessSpans

# Streams and their callers' returns are over by then.
RETENTION_S = 120.0
# A replica that was heard within this time writes answers.
AT_WORK_S = 0.3


@attrs.define(kw_only=True, frozen=True)
class _Lifetime:
    """A lifetime that was announced at an address, and when it became known."""

    replica: str
    born_ms: int
    known_at: float


class KnownLifetimes:
    """Decides whether a process is the lifetime that a record tells of.

    A replica that starts again, under the same name and address, is told from the
    earlier lifetime by its announcements only.  As one process runs at a time, a
    lifetime that was known before a process was reached, and that announced itself
    afterwards, is that process.  Times are seconds of a monotonic clock.
    """

    def __init__(self, *, subscriber: Subscriber, spans: ProcessSpans) -> None:
        self._subscriber = subscriber
        self._spans = spans
        self._by_address: dict[str, list[_Lifetime]] = {}
        # Lower bounds of the time of the last announcement.
        self._announced_at: dict[tuple[str, int], float] = {}

    def heard(self, records: Iterable[ReplicaRecord], now: float) -> None:
        """Record announcements."""
        for record in records:
            known = self._by_address.setdefault(record.address, [])
            if record.state == ReplicaState.GONE or _find(known, record):
                continue
            lifetime = _Lifetime(
                replica=record.replica, born_ms=record.born_ms, known_at=now
            )
            known.append(lifetime)

    def answered(self, heard: Iterable[HeardLifetime], asked_at: float) -> None:
        """Record when lifetimes announced themselves, as a control node answered.

        The time counts from the question: the answer may have waited to be read.
        """
        for lifetime in heard:
            key = (lifetime.replica, lifetime.born_ms)
            announced_at = asked_at - lifetime.age_ms / 1000
            known_at = self._announced_at.get(key, announced_at)
            self._announced_at[key] = max(announced_at, known_at)

    def is_proven(self, record: ReplicaRecord, opened_at: float) -> bool:
        """Return whether a connection that was opened then leads to this lifetime."""
        lifetime = self._lifetime(record)
        if lifetime is None:
            return False
        span = self._spans.around(record.address, opened_at)
        if span.until > self._ended_by(record):
            return False
        announced_at = self._announced_at.get((record.replica, record.born_ms))
        if announced_at is None:
            return False
        return max(lifetime.known_at, span.since) <= min(announced_at, span.until)

    def may_be_proven(self, record: ReplicaRecord, opened_at: float) -> bool:
        """Return whether a later announcement may prove what is not proven yet."""
        if self._lifetime(record) is None:
            return False
        span = self._spans.around(record.address, opened_at)
        return span.until <= self._ended_by(record)

    def _lifetime(self, record: ReplicaRecord) -> _Lifetime | None:
        return _find(self._by_address.get(record.address, ()), record)

    def _ended_by(self, record: ReplicaRecord) -> float:
        """Return when a later lifetime at the address was known, infinity if never."""
        known = self._by_address.get(record.address, ())
        return min(
            (k.known_at for k in known if k.born_ms > record.born_ms), default=math.inf
        )

    def is_at_work(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether other answers show soon that a new connection leads there."""
        heard_at = self._spans.heard_at(record.address)
        return now - heard_at < AT_WORK_S and self.is_proven(record, heard_at)

    def span_s(self, record: ReplicaRecord, opened_at: float) -> float:
        """Return for how long the process of a connection is known to have run."""
        span = self._spans.around(record.address, opened_at)
        return span.until - span.since

    def prune(self, now: float) -> None:
        """Delete lifetimes that ended long ago."""
        for address, known in list(self._by_address.items()):
            kept = [k for k in known if self._is_kept(k, now)]
            if kept:
                self._by_address[address] = kept
            else:
                del self._by_address[address]

        for key, announced_at in list(self._announced_at.items()):
            if now - announced_at >= RETENTION_S:
                del self._announced_at[key]

    def _is_kept(self, lifetime: _Lifetime, now: float) -> bool:
        current = self._subscriber.directory.get(lifetime.replica)
        is_current = current is not None and current.born_ms == lifetime.born_ms
        return is_current or now - lifetime.known_at < RETENTION_S


def _find(known: Iterable[_Lifetime], record: ReplicaRecord) -> _Lifetime | None:
    for lifetime in known:
        if (lifetime.replica, lifetime.born_ms) == (record.replica, record.born_ms):
            return lifetime
    return None
