"""Quarantine of content that crashes replicas."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..directory.replica_state import ReplicaState
from ..errors.relay import TurnedAway
from ..messages.quarantine import CrashMarks
from .ended import Delivered, Lost, NotRun
from .exchange_run import REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..directory.subscriber import Subscriber
    from ..messages.directory import ReplicaRecord
    from ..quarantine.crash_watch import CrashWatch
    from .ended import ExchangeResult
    from .work import Work

logger = logging.getLogger(__name__)


class Crashes:
    """Detects runs that a crash broke off, and reports them to other entries.

    A replica counts as crashed if it refuses connections.  One that broke off a
    run also counts as crashed if a later lifetime is known, if it is recorded as
    gone, or if no control node receives its heartbeats any more.  `broadcast`
    sends a message to all other entries.
    """

    def __init__(
        self,
        *,
        watch: CrashWatch,
        subscriber: Subscriber,
        broadcast: Callable[[CrashMarks], None],
    ) -> None:
        self._watch = watch
        self._subscriber = subscriber
        self._broadcast = broadcast
        self._records: dict[str, ReplicaRecord] = {}

    def check(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` for content that is quarantined."""
        remaining_s = self._quarantine_s(work, now)
        if remaining_s > 0:
            raise TurnedAway(
                status=503, reason='quarantined', retry_after_s=remaining_s
            )

    def is_quarantined(self, work: Work, now: float) -> bool:
        """Return whether the content of a request is quarantined."""
        return self._quarantine_s(work, now) > 0

    def record_result(
        self, work: Work, record: ReplicaRecord, result: ExchangeResult, now: float
    ) -> None:
        """Record the result of an exchange with a replica."""
        lifetime = _lifetime(record)
        match result:
            case Delivered():
                self._clear(work, now)
            case Lost(broken_off=True):
                self._records[lifetime] = record
                self._watch.broke_off(lifetime, work.fingerprint, work.sent_at, now)
            case NotRun(reason=reason) if reason == REFUSED:
                self._record_crash(lifetime, now)

    def tick(self, now: float) -> None:
        """Check whether replicas that broke off runs have ended."""
        pending = self._watch.pending()
        for lifetime in pending:
            if self._has_ended(self._records[lifetime], now):
                self._record_crash(lifetime, now)
        if pending:
            self._prune(now)

    def broadcast_marks(self, now: float) -> None:
        """Send the newest marks again, for entries that may have missed them."""
        self._prune(now)
        if self._watch.has_marks:
            self._broadcast(self._watch.marks(now))

    def handle_marks(self, body: CrashMarks, now: float) -> None:
        """Merge the crash marks of another entry."""
        self._watch.heard(body, now)

    def _quarantine_s(self, work: Work, now: float) -> float:
        if not self._watch.has_marks:
            return 0.0
        return self._watch.left_s(work.fingerprint, now)

    def _clear(self, work: Work, now: float) -> None:
        if not self._watch.has_marks:
            return
        fingerprint = work.fingerprint
        if self._watch.delivered(fingerprint, now):
            self._broadcast(CrashMarks(cleared=(fingerprint,)))

    def _has_ended(self, record: ReplicaRecord, now: float) -> bool:
        current = self._subscriber.directory.get(record.replica)
        if current is None or current.born_ms != record.born_ms:
            return True
        if current.state == ReplicaState.GONE:
            return True
        return self._subscriber.is_silent(record.replica, now)

    def _record_crash(self, lifetime: str, now: float) -> None:
        marks = self._watch.ended(lifetime, now)
        if not marks:
            return
        logger.warning(
            'replica_crashed',
            extra={
                'lifetime': lifetime,
                'blamed': ','.join(m.fingerprint.hex() for m in marks),
            },
        )
        self._broadcast(CrashMarks(marks=marks))

    def _prune(self, now: float) -> None:
        self._watch.prune(now)
        pending = set(self._watch.pending())
        for lifetime in [k for k in self._records if k not in pending]:
            del self._records[lifetime]


def _lifetime(record: ReplicaRecord) -> str:
    return f'{record.replica}@{record.born_ms}'
