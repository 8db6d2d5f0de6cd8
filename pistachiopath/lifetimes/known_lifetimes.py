"""Which lifetime of a replica a connection leads to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..directory.replica_state import ReplicaState
from ..streams.service_version import ServiceVersion, version_of
from .lifetime_doubts import MAX_REPORT_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..directory.subscriber import Subscriber
    from ..messages.directory import HeardLifetime, ReplicaRecord
    from .lifetime_doubts import LifetimeDoubts
    from .process_spans import ProcessSpan, ProcessSpans

# Streams and their callers' returns are over by then.
RETENTION_S = 120.0
# A replica that was heard within this time writes answers.
AT_WORK_S = 0.3


@attrs.define(kw_only=True)
class _Lifetime:
    """A lifetime that was announced at an address, and when it became known.

    Nodes of an older build pass it on without its version, which may be learned later.
    """

    replica: str
    born_ms: int
    version: ServiceVersion
    known_at: float


@attrs.define(kw_only=True)
class _Run:
    """A lifetime ran at least from `since` to `until`, both of which are included.

    `until` is -infinity while nothing shows that it ran at a certain time.
    """

    since: float
    until: float = -math.inf
    has_left: bool = False


class KnownLifetimes:
    """Decides whether a process is the lifetime that a record tells of.

    A replica that starts again, under the same name and address, is told from the
    earlier lifetime by its announcements only.  As one process runs at a time, a
    lifetime that was known before a process was reached, and that announced itself
    afterwards, is that process.  A lifetime runs without a gap, so it ran at any time
    between two of its announcements.  One that arrives soon after a connection broke
    may have been sent before, by a process that has ended: `doubts` tell.  Times are
    seconds of a monotonic clock.
    """

    def __init__(
        self, *, subscriber: Subscriber, spans: ProcessSpans, doubts: LifetimeDoubts
    ) -> None:
        self._subscriber = subscriber
        self._spans = spans
        self._doubts = doubts
        self._by_address: dict[str, list[_Lifetime]] = {}
        self._runs: dict[str, dict[int, _Run]] = {}
        # Upper bounds of the time of a replica's last announcement.
        self._quiet_since: dict[str, float] = {}

    def heard(self, records: Iterable[ReplicaRecord], now: float) -> None:
        """Record announcements."""
        for record in records:
            if record.state == ReplicaState.GONE:
                continue
            known = self._by_address.setdefault(record.address, [])
            lifetime = _find(known, record)
            if lifetime is None:
                lifetime = _Lifetime(
                    replica=record.replica,
                    born_ms=record.born_ms,
                    version=version_of(record),
                    known_at=now,
                )
                known.append(lifetime)
                self._run(record.replica, record.born_ms, now)
            if record.software_version:
                lifetime.version = version_of(record)

    def answered(
        self, heard: Iterable[HeardLifetime], asked_at: float, now: float
    ) -> None:
        """Record when lifetimes announced themselves, as a control node answered.

        The answer may have waited to be read: what shows that a lifetime still ran
        counts from the question, and what shows that it had begun from the reading.
        """
        for lifetime in heard:
            known_at = now - lifetime.known_ms / 1000
            run = self._run(lifetime.replica, lifetime.born_ms, known_at)
            run.since = min(run.since, known_at)
            run.until = max(run.until, asked_at - lifetime.age_ms / 1000)
            run.has_left |= lifetime.has_left
            quiet_since = now - lifetime.quiet_ms / 1000
            known_quiet = self._quiet_since.get(lifetime.replica, quiet_since)
            self._quiet_since[lifetime.replica] = max(quiet_since, known_quiet)

    def is_proven(self, record: ReplicaRecord, opened_at: float) -> bool:
        """Return whether a connection that was opened then leads to this lifetime."""
        lifetime = _find(self._by_address.get(record.address, ()), record)
        if lifetime is None:
            return False
        return self._is_process(lifetime, record.address, opened_at)

    def version_at(
        self, record: ReplicaRecord, opened_at: float
    ) -> ServiceVersion | None:
        """Return the proven version of the process that a connection led to.

        It may be that of another lifetime of the replica than the record's: one that
        had not announced itself yet.
        """
        for lifetime in self._by_address.get(record.address, ()):
            is_replica = lifetime.replica == record.replica
            if is_replica and self._is_process(lifetime, record.address, opened_at):
                return lifetime.version
        return None

    def version_of_process(
        self, replica: str, address: str, span: ProcessSpan
    ) -> ServiceVersion | None:
        """Return the proven version of a process that another node has witnessed.

        Nothing is known here of what ran before it, so an announcement counts only if
        it was sent while the process ran, however long it was on its way.
        """
        for lifetime in self._by_address.get(address, ()):
            if lifetime.replica != replica:
                continue
            if span.until > self._ended_by(lifetime, address):
                continue
            ran_until = self._ran_until(replica, lifetime.born_ms) - MAX_REPORT_DELAY_S
            if lifetime.known_at <= span.until and span.since <= ran_until:
                return lifetime.version
        return None

    def _is_process(self, lifetime: _Lifetime, address: str, opened_at: float) -> bool:
        span = self._spans.around(address, opened_at)
        if span.until > self._ended_by(lifetime, address):
            return False
        ran_until = self._ran_until(lifetime.replica, lifetime.born_ms)
        return max(lifetime.known_at, span.since) <= min(ran_until, span.until)

    def _ended_by(self, lifetime: _Lifetime, address: str) -> float:
        """Return when a later lifetime at the address was known, infinity if never."""
        known = self._by_address.get(address, ())
        return min(
            (k.known_at for k in known if k.born_ms > lifetime.born_ms),
            default=math.inf,
        )

    def ran(self, replica: str, born_ms: int, since: float, until: float) -> bool:
        """Return whether a lifetime is known to have run all the time between."""
        run = self._find_run(replica, born_ms)
        if run.since > since:
            return False
        ran_until = self._ran_until(replica, born_ms)
        return until <= ran_until or self._was_heard(replica, born_ms, until)

    def is_current(self, replica: str, born_ms: int) -> bool:
        """Return whether no later lifetime of a replica is known."""
        current = self._subscriber.directory.get(replica)
        return current is not None and current.born_ms == born_ms

    def is_quiet(self, replica: str, since: float) -> bool:
        """Return whether no control node has heard a replica since a time."""
        return self._quiet_since.get(replica, math.inf) <= since

    def has_begun(self, record: ReplicaRecord, since: float) -> bool:
        """Return whether no earlier lifetime of the replica can have run since a time.

        The first lifetime of all is sent nothing before it has announced itself.
        """
        runs = self._runs.get(record.replica, {})
        is_first = record.born_ms in runs and len(runs) == 1
        return is_first or self._find_run(record.replica, record.born_ms).since <= since

    def has_reported(self, record: ReplicaRecord, since: float) -> bool:
        """Return whether a lifetime ran at a time after `since`, or left as planned."""
        replica, born_ms = record.replica, record.born_ms
        if record.state == ReplicaState.GONE:
            return self._find_run(replica, born_ms).has_left
        ran_until = self._ran_until(replica, born_ms)
        return ran_until >= since or self._was_heard(replica, born_ms, since)

    def is_doubted(self, record: ReplicaRecord) -> bool:
        """Return whether a lifetime's last announcement may be from before a break."""
        run = self._find_run(record.replica, record.born_ms)
        return self._ran_until(record.replica, record.born_ms) < run.until

    def _ran_until(self, replica: str, born_ms: int) -> float:
        """Return until when a lifetime is known to have run."""
        announced_at = self._find_run(replica, born_ms).until
        return self._doubts.known_until(replica, born_ms, announced_at)

    def _was_heard(self, replica: str, born_ms: int, since: float) -> bool:
        """Return whether a process that is proven has written here since a time."""
        record = self._subscriber.directory.get(replica)
        if record is None or record.born_ms != born_ms:
            return False
        heard_at = self._spans.heard_at(record.address)
        return heard_at >= since and self.is_proven(record, heard_at)

    def _run(self, replica: str, born_ms: int, since: float) -> _Run:
        runs = self._runs.setdefault(replica, {})
        return runs.setdefault(born_ms, _Run(since=since))

    def _find_run(self, replica: str, born_ms: int) -> _Run:
        run = self._runs.get(replica, {}).get(born_ms)
        return run or _Run(since=math.inf)

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

        self._prune_runs(now)

    def _prune_runs(self, now: float) -> None:
        for replica, runs in list(self._runs.items()):
            for born_ms, run in list(runs.items()):
                is_old = now - max(run.since, run.until) >= RETENTION_S
                if is_old and not self.is_current(replica, born_ms):
                    del runs[born_ms]
            if not runs:
                del self._runs[replica]
                self._quiet_since.pop(replica, None)

    def _is_kept(self, lifetime: _Lifetime, now: float) -> bool:
        is_current = self.is_current(lifetime.replica, lifetime.born_ms)
        return is_current or now - lifetime.known_at < RETENTION_S


def _find(known: Iterable[_Lifetime], record: ReplicaRecord) -> _Lifetime | None:
    for lifetime in known:
        if (lifetime.replica, lifetime.born_ms) == (record.replica, record.born_ms):
            return lifetime
    return None
