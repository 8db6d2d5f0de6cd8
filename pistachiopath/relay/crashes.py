"""Quarantine of content that crashes replicas."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..directory.replica_state import ReplicaState
from ..errors.relay import TurnedAway
from ..messages.quarantine import CrashMarks
from ..util.listening_span import ListeningSpan
from .ended import Delivered, Lost, NotRun
from .exchange_run import LIVED_S, REFUSED
from .quarantine_log import QuarantineLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..directory.subscriber import Subscriber
    from ..messages.directory import ReplicaRecord
    from ..quarantine.crash_watch import CrashWatch
    from .ended import ExchangeResult
    from .work import Work

logger = logging.getLogger(__name__)

# A node that lost a message, or started since, has the marks within this time.
RESEND_INTERVAL_S = 5.0
# After news of a crash messages are repeated sooner.
RECENT_NEWS_S = 10.0
RECENT_RESEND_INTERVAL_S = 2.0


class Crashes:
    """Detects runs that a crash broke off, and reports them to other entries.

    A replica counts as crashed if it refuses connections.  One that broke off a
    run also counts as crashed if a later lifetime is known, if it is recorded as
    gone, if no control node receives its heartbeats any more, or if another entry
    reports its crash.

    `broadcast` sends a message to all other entries and returns whether it
    could.  `refuses` returns whether an address refuses connections.
    """

    def __init__(
        self,
        *,
        watch: CrashWatch,
        subscriber: Subscriber,
        broadcast: Callable[[CrashMarks], bool],
        refuses: Callable[[str], bool],
    ) -> None:
        self._watch = watch
        self._subscriber = subscriber
        self._broadcast = broadcast
        self._refuses = refuses
        self._records: dict[str, ReplicaRecord] = {}
        self._being_checked: set[str] = set()
        self._log = QuarantineLog()
        self._news_at = -RECENT_NEWS_S
        self._resend_at = 0.0
        self._listening = ListeningSpan()

    def check(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` for a request with content in quarantine."""
        for key in self._quarantined_contents(work):
            remaining_s = self._watch.left_s(key, now)
            if remaining_s > 0:
                raise self._turned_away(work, key, remaining_s)

    def check_send(self, work: Work, now: float) -> None:
        """Check a request right before it is sent to a replica.

        It may be the one request with which content in quarantine is tried again.
        """
        self.check(work, now)
        for key in self._quarantined_contents(work):
            if not self._watch.blamed[key].has_trials:
                continue
            if not self._broadcast(self._watch.begin_trial(key, now)):
                raise self._turned_away(work, key, self._watch.left_s(key, now))
            logger.info(
                'quarantine_trial',
                extra={'request': work.req.request_id, 'content': key.hex()},
            )

    def is_quarantined(self, work: Work, now: float) -> bool:
        """Return whether a request has content in quarantine."""
        return any(
            self._watch.left_s(key, now) > 0 for key in self._quarantined_contents(work)
        )

    def record_result(
        self, work: Work, record: ReplicaRecord, result: ExchangeResult, now: float
    ) -> None:
        """Record the result of an exchange with a replica."""
        lifetime = _lifetime(record)
        match result:
            case Delivered():
                self._record_delivered(work, now)
            case Lost(broken_off=True):
                self._record_broken_off(work, record, now)
                self._check_replica(record)
            case NotRun(reason=reason) if reason == REFUSED:
                self._record_crash(lifetime, now, 'refused')

    def run_lived(self, work: Work, now: float) -> None:
        """Record that a run has been writing for a while, so it crashes nothing.

        What it wrote while this process stood still may be read much later.
        """
        if now - self._listening.since < LIVED_S:
            return
        work.has_lived = True
        self._record_delivered(work, now)

    def tick(self, now: float) -> None:
        """Check whether replicas that broke off runs have ended."""
        self._listening.turn(now)
        pending = self._watch.pending()
        for lifetime in pending:
            evidence = self._evidence(self._records[lifetime], now)
            if evidence:
                self._record_crash(lifetime, now, evidence)
        if pending:
            self._prune(now)
        proofs = self._watch.take_proofs(now)
        if proofs:
            self._broadcast(CrashMarks(proofs=proofs))
        self._log.update(self._watch.blamed)
        if now >= self._resend_at:
            self._resend(now)

    def broadcast_marks(self, now: float) -> None:
        """Send the newest marks again, for entries that may have missed them."""
        self._prune(now)
        if self._watch.has_marks:
            self._broadcast(self._watch.marks(now))

    def handle_marks(self, body: CrashMarks, now: float) -> None:
        """Merge the crash marks of another entry."""
        if self._watch.heard(body, now):
            self._news_at = now
            self._resend_at = min(self._resend_at, now + RECENT_RESEND_INTERVAL_S)
        pending = set(self._watch.pending())
        for lifetime in sorted({m.lifetime for m in body.marks} & pending):
            self._record_crash(lifetime, now, 'reported')

    def _quarantined_contents(self, work: Work) -> Iterator[bytes]:
        """Yield the keys of a request's contents that are in quarantine."""
        if not self._watch.has_marks:
            return
        blamed = self._watch.blamed
        if not blamed:
            return
        keys = [work.fingerprint, *(part.key for part in work.shared_parts)]
        yield from (key for key in keys if key in blamed)

    def _turned_away(self, work: Work, key: bytes, remaining_s: float) -> TurnedAway:
        history = self._watch.blamed[key]
        depth = history.content.depth
        logger.info(
            'request_quarantined',
            extra={
                'request': work.req.request_id,
                'content': key.hex(),
                'part': _part_id(work, key),
                'crashes': len(history.runs),
                'left_s': round(remaining_s, 3),
            },
        )
        reason = 'quarantined_part' if depth else 'quarantined'
        return TurnedAway(status=503, reason=reason, retry_after_s=remaining_s)

    def _record_broken_off(self, work: Work, record: ReplicaRecord, now: float) -> None:
        """Record a run that may have crashed its replica.

        What crashes a replica does so when its answer begins, so a run that was
        writing for a while has not; it may have been if this process stood still
        meanwhile.  A replica that leaves as planned may end with work in progress.
        """
        is_leaving = self._is_leaving(record)
        logger.info(
            'run_broken_off',
            extra={
                'request': work.req.request_id,
                'lifetime': _lifetime(record),
                'ran_ms': int((now - work.sent_at) * 1000),
                'has_lived': work.has_lived,
                'is_leaving': is_leaving,
            },
        )
        has_begun = work.last_event_at >= work.sent_at
        may_have_lived = has_begun and work.sent_at < self._listening.since
        if work.has_lived or may_have_lived or is_leaving:
            return
        lifetime = _lifetime(record)
        self._records[lifetime] = record
        self._watch.broke_off(
            lifetime, work.fingerprint, work.sent_at, now, parts=work.shared_parts
        )

    def _is_leaving(self, record: ReplicaRecord) -> bool:
        """Return whether this lifetime has said that it leaves."""
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return False
        return current.state == ReplicaState.DRAINING

    def _record_delivered(self, work: Work, now: float) -> None:
        self._record_proof(work, now)
        fingerprint = work.fingerprint
        if self._watch.delivered(fingerprint, now):
            self._broadcast(CrashMarks(cleared=(fingerprint,)))

    def _record_proof(self, work: Work, now: float) -> None:
        cleared = self._watch.proven(work.shared_parts, now)
        if cleared:
            self._broadcast(CrashMarks(cleared=cleared))

    def _check_replica(self, record: ReplicaRecord) -> None:
        """Find out at once whether a replica that broke off a run has ended."""
        lifetime = _lifetime(record)
        if lifetime not in self._being_checked:
            self._being_checked.add(lifetime)
            gevent.spawn(self._connect, record)

    def _connect(self, record: ReplicaRecord) -> None:
        lifetime = _lifetime(record)
        try:
            has_ended = self._refuses(record.address)
        finally:
            self._being_checked.discard(lifetime)
        if has_ended:
            self._record_crash(lifetime, time.monotonic(), 'refused')

    def _evidence(self, record: ReplicaRecord, now: float) -> str:
        """Return how it is known that a replica has ended, or an empty string."""
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return 'later_lifetime'
        if current.state == ReplicaState.GONE:
            return 'gone'
        return 'silent' if self._subscriber.is_silent(record.replica, now) else ''

    def _record_crash(self, lifetime: str, now: float, evidence: str) -> None:
        marks = self._watch.ended(lifetime, now)
        if not marks:
            return
        self._news_at = now
        self._resend_at = now + RECENT_RESEND_INTERVAL_S
        logger.warning(
            'replica_crashed',
            extra={
                'lifetime': lifetime,
                'evidence': evidence,
                'broken_ms_ago': max(m.age_ms for m in marks),
                'blamed': ','.join(m.fingerprint.hex() for m in marks),
            },
        )
        self._broadcast(CrashMarks(marks=marks))

    def _resend(self, now: float) -> None:
        is_recent = now - self._news_at < RECENT_NEWS_S
        interval_s = RECENT_RESEND_INTERVAL_S if is_recent else RESEND_INTERVAL_S
        self._resend_at = now + interval_s
        self.broadcast_marks(now)

    def _prune(self, now: float) -> None:
        self._watch.prune(now)
        pending = set(self._watch.pending())
        for lifetime in [k for k in self._records if k not in pending]:
            del self._records[lifetime]


def _part_id(work: Work, key: bytes) -> str:
    """Return the caller's id of a part, or an empty string for a whole request.

    The same part may have another position in other requests.
    """
    for content, part in zip(work.shared_parts, work.req.parts, strict=False):
        if content.key == key:
            return part.part_id
    return ''


def _lifetime(record: ReplicaRecord) -> str:
    return f'{record.replica}@{record.born_ms}'
