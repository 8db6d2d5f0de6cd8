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
    from .process_spans import ProcessSpan, ProcessSpans

# Streams and their callers' returns are over by then.
RETENTION_S = 120.0
# A replica that was heard within this time writes answers.
AT_WORK_S = 0.3


@attrs.define(kw_only=True, frozen=True)
class _Lifetime:
    """A lifetime that was announced at an address.

    It became known at `known_at`; what was announced until `unknown_until` did not
    contain it.
    """

    replica: str
    born_ms: int
    known_at: float
    unknown_until: float


class KnownLifetimes:
    """Decides whether a process is the lifetime that a record tells of.

    A replica that starts again, under the same name and address, is told from the
    earlier lifetime by its announcements only.  Two things prove a process to be the
    lifetime that was known before it was reached.  That lifetime announced itself
    after the process was reached, as there is one process at a time.  Or the process
    has run for `announced_s`, within which a new lifetime announces itself, all
    announcements of that time have been received, and no other lifetime can be meant.
    Times are seconds of a monotonic clock.
    """

    def __init__(
        self, *, subscriber: Subscriber, spans: ProcessSpans, announced_s: float
    ) -> None:
        self._subscriber = subscriber
        self._spans = spans
        self._announced_s = announced_s
        self._by_address: dict[str, list[_Lifetime]] = {}
        # Lower bounds of the time of the last announcement.
        self._announced_at: dict[tuple[str, int], float] = {}

    def heard(
        self, records: Iterable[ReplicaRecord], covered_at: float, now: float
    ) -> None:
        """Record announcements; all until `covered_at` were received before."""
        for record in records:
            known = self._by_address.setdefault(record.address, [])
            if record.state == ReplicaState.GONE or _find(known, record):
                continue
            known.append(
                _Lifetime(
                    replica=record.replica,
                    born_ms=record.born_ms,
                    known_at=now,
                    unknown_until=covered_at,
                )
            )
            known.sort(key=lambda lifetime: lifetime.born_ms)

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
        known = self._by_address.get(record.address, [])
        lifetime = _find(known, record)
        if lifetime is None:
            return False
        span = self._spans.around(record.address, opened_at)
        possible = self._possible(known, lifetime.replica, span)
        if lifetime not in possible:
            return False
        if self._announced_in(lifetime, span):
            return True
        return self._has_announced_itself(span) and possible == [lifetime]

    def _announced_in(self, lifetime: _Lifetime, span: ProcessSpan) -> bool:
        """Return whether a lifetime ran at some time of a process."""
        key = (lifetime.replica, lifetime.born_ms)
        announced_at = self._announced_at.get(key, -math.inf)
        return max(lifetime.known_at, span.since) <= min(announced_at, span.until)

    def is_at_work(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether other answers show soon that a new connection leads there."""
        heard_at = self._spans.heard_at(record.address)
        return now - heard_at < AT_WORK_S and self.is_proven(record, heard_at)

    def span_s(self, record: ReplicaRecord, opened_at: float) -> float:
        """Return for how long the process of a connection is known to have run."""
        span = self._spans.around(record.address, opened_at)
        return span.until - span.since

    def _has_announced_itself(self, span: ProcessSpan) -> bool:
        """Return whether an announcement of the process must have been received."""
        due_at = span.since + self._announced_s
        return span.until >= due_at and self._subscriber.covered_at() >= due_at

    def _possible(
        self, known: list[_Lifetime], replica: str, span: ProcessSpan
    ) -> list[_Lifetime]:
        """Return the lifetimes of a replica that a process may be.

        Another replica at its address would not have taken the request.
        """
        return [
            k
            for k in known
            if k.replica == replica and self._is_possible(k, known, span)
        ]

    def _is_possible(
        self, lifetime: _Lifetime, known: list[_Lifetime], span: ProcessSpan
    ) -> bool:
        later = [k for k in known if k.born_ms > lifetime.born_ms]
        ended_by = min((k.known_at for k in later), default=math.inf)
        is_too_old = ended_by < span.until
        is_too_new = lifetime.unknown_until >= span.since + self._announced_s
        return not is_too_old and not is_too_new

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


def _find(known: list[_Lifetime], record: ReplicaRecord) -> _Lifetime | None:
    for lifetime in known:
        if (lifetime.replica, lifetime.born_ms) == (record.replica, record.born_ms):
            return lifetime
    return None
