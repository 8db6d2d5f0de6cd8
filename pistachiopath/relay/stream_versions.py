"""Decides which software version a resumed stream goes on at."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs

from ..errors.relay import TurnedAway
from ..lifetimes.lifetime_doubts import MAX_REPORT_DELAY_S
from ..lifetimes.origin_source import OriginSource
from ..lifetimes.stream_start import StreamStart
from ..streams.memory import MAX_STREAMS, STREAM_RETENTION_S, StreamMemory
from ..streams.origin import Origin
from ..streams.service_version import version_of
from ..util.arrivals import handle_arrivals
from ..util.recent import Recent
from .origin_search import Search
from .retry_after import retry_after_s

if TYPE_CHECKING:
    from ..lifetimes.continuations import Continuations
    from ..lifetimes.open_streams import OpenStreams
    from ..messages.directory import ReplicaRecord
    from ..telemetry.metrics import Metrics
    from ..util.turn_clock import TurnClock
    from .origin_search import OriginSearch
    from .work import Work

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 0.5
# A caller comes back in a row within this time; later its id may name another stream.
RETURNS_RETENTION_S = 10.0


class StreamVersions:
    """Finds the version that began a stream before the stream is resumed.

    What this entry delivered itself is known, and others are searched for.  A stream
    whose version nobody knows is refused.  So is one of which it is not settled which
    lifetime of its replica began it.
    """

    def __init__(
        self,
        *,
        search: OriginSearch,
        open_streams: OpenStreams,
        continuations: Continuations,
        turns: TurnClock,
        metrics: Metrics,
    ) -> None:
        self._search = search
        self._open_streams = open_streams
        self._continuations = continuations
        self._turns = turns
        self._metrics = metrics
        self._memory = StreamMemory()
        # Kept for longer than what `_memory` has of a stream.
        self._starts: Recent[str, StreamStart] = Recent(
            retention_s=2 * STREAM_RETENTION_S, most=MAX_STREAMS
        )
        # When the callers first came back of whose streams nobody knew.
        self._returns: Recent[str, float] = Recent(
            retention_s=RETURNS_RETENTION_S, most=MAX_STREAMS
        )

    def resolve(self, work: Work) -> None:
        """Set the version of a resumed stream; raises `TurnedAway`."""
        if not work.is_return:
            return
        if self._turns.has_stood_still(time.monotonic()):
            # The return may have been read before the news of a new version.
            handle_arrivals()
        search = self._find(work)
        if search.origin is None:
            self._log(search, refused='version_unknown')
            raise _refusal(work, 'version_unknown', wait_s=self._proof_wait_s(search))
        if not work.go_on_at(search.origin.version):
            self._log(search, refused='service_gone')
            raise _refusal(work, 'service_gone')
        self._log(search)

    def goes_on(self, work: Work) -> None:
        """Record that a stream is about to go on at a replica."""
        if work.stream and work.stream_version is not None:
            self._note_open(work)

    def begun(self, work: Work, record: ReplicaRecord, opened_at: float) -> None:
        """Record the replica that brought the first event of a stream.

        The connection to it was opened at `opened_at`.
        """
        now = time.monotonic()
        work.stream_version = version_of(record)
        work.start = StreamStart(record=record, opened_at=opened_at, begun_at=now)
        if not work.stream:
            return
        logger.info(
            'stream_begun',
            extra={
                'request': work.req.request_id,
                'stream': work.stream,
                'replica': record.replica,
                'born_ms': record.born_ms,
                'software_version': work.stream_version.version,
                'has_gate': work.has_gate,
                'opened_ms': int((now - opened_at) * 1000),
            },
        )
        self._note(work)
        self._note_open(work)

    def is_settled(self, work: Work) -> bool:
        """Return whether it is known which lifetime began the stream.

        If it is not the one that its replica was taken for, its version counts.
        """
        if work.start is None:
            return True
        version = self._continuations.settle(work.start)
        if version is not None:
            work.stream_version = version
        else:
            logger.info(
                'stream_unsettled',
                extra={
                    'request': work.req.request_id,
                    'stream': work.stream,
                    'replica': work.start.record.replica,
                    'born_ms': work.start.record.born_ms,
                    'opened_ms': int(
                        (work.start.begun_at - work.start.opened_at) * 1000
                    ),
                },
            )
        return version is not None

    def _note_open(self, work: Work) -> None:
        start, version = work.start, work.stream_version
        self._open_streams.begun(
            work.stream,
            version,
            lambda: self._continuations.version(start) if start else version,
            start=start,
            has_gate=work.has_gate,
        )

    def ended(self, work: Work) -> None:
        """Remember a stream from its end on, as its caller may come back."""
        if not work.stream or work.stream_version is None:
            return
        self._note(work)
        is_complete = work.outcome == 'delivered'
        self._open_streams.ended(
            work.stream, is_complete=is_complete, now=time.monotonic()
        )

    def _note(self, work: Work) -> None:
        now = time.monotonic()
        if work.start is not None:
            self._starts.note(work.stream, work.start, now)
        origin = Origin(
            version=work.stream_version,
            attempt=work.tries,
            is_confirmed=True,
            noted_at=now,
        )
        self._memory.note(work.stream, origin)

    def _find(self, work: Work) -> Search:
        now = time.monotonic()
        origin = self._memory.find(work.stream, now)
        if origin is not None:
            start = self._starts.get(work.stream, now)
            version = self._continuations.settle(start) if start else origin.version
            return Search(
                work=work,
                returned_at=now,
                began_at=now,
                origin=attrs.evolve(origin, version=version) if version else None,
                source=OriginSource.OWN,
            )
        # An earlier return found nobody who knew, and what is reported since counts.
        returned_at = self._returns.get(work.stream, now)
        if returned_at is None:
            returned_at = now
            self._returns.note(work.stream, now, now)
        return self._search.run(work, returned_at)

    def _proof_wait_s(self, search: Search) -> float:
        """Return after how long a report may prove what began the stream.

        A caller that comes back earlier would be refused again.
        """
        proven_at = search.process_since + MAX_REPORT_DELAY_S
        return max(RETRY_AFTER_S, proven_at - time.monotonic())

    def _log(self, search: Search, *, refused: str = '') -> None:
        """Log a caller's return with half of a stream, allowed or refused."""
        now = time.monotonic()
        work, origin, deduction = search.work, search.origin, search.deduction
        source = search.source.value
        self._metrics.count('stream_returns_total', source=source, refused=refused)
        logger.info(
            'stream_return',
            extra={
                'request': work.req.request_id,
                'stream': work.stream,
                'service': origin.version.service if origin else '',
                'software_version': origin.version.version if origin else '',
                'source': source,
                'holder': origin.holder if origin else '',
                'is_confirmed': origin.is_confirmed if origin else False,
                'attempt': origin.attempt if origin else -1,
                'age_ms': int((now - origin.noted_at) * 1000) if origin else -1,
                'deduction': deduction.certainty.value,
                'deduction_lacks': deduction.reason,
                'lacking_replica': deduction.replica,
                'returned_ms_ago': int((now - search.returned_at) * 1000),
                'searched_ms': int((now - work.started_at) * 1000),
                'refused': refused,
            },
        )


def _refusal(work: Work, reason: str, *, wait_s: float = RETRY_AFTER_S) -> TurnedAway:
    remaining_s = work.remaining_s(time.monotonic())
    return TurnedAway(
        status=503,
        reason=reason,
        retry_after_s=retry_after_s(wait_s, remaining_s),
    )
