"""Decides which software version a resumed stream goes on at."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from ..directory.directory import GONE_RETENTION_S
from ..errors.relay import TurnedAway
from ..streams.memory import MAX_STREAMS, STREAM_RETENTION_S, StreamMemory
from ..streams.origin import Origin
from ..streams.service_version import version_of
from ..util.arrivals import handle_arrivals
from .origin_source import OriginSource
from .patience import patience_s
from .retry_after import retry_after_s
from .stream_start import StreamStart
from .targets import DIRECTORY_FILL_S

if TYPE_CHECKING:
    from ..directory.subscriber import Subscriber
    from ..messages.directory import ReplicaRecord
    from ..telemetry.metrics import Metrics
    from ..util.turn_clock import TurnClock
    from .continuations import Continuations
    from .open_streams import OpenStreams
    from .stream_finder import StreamFinder
    from .targets import Targets
    from .work import Work

logger = logging.getLogger(__name__)

# A stream that is resumed began at most this many times the route's timeout ago:
# a caller comes back within its deadline.
HORIZON_TIMEOUTS = 2.0
# A control node that is not heard may know of a version that has just appeared, so
# gates are asked first, and without most control nodes nothing is deduced.
MIN_HEARD_CONTROLS = 0.5
MAX_SEARCH_S = 1.5
# Share of the time for which a caller waits for its first event.
SEARCH_PATIENCE_SHARE = 0.4
RETRY_AFTER_S = 0.5


class StreamVersions:
    """Finds the version that began a stream before the stream is resumed.

    What this entry delivered itself is known.  If a service has had one version
    for long enough, each of its streams is of that version.  Otherwise the gates
    and the control nodes are asked.  A stream whose version nobody knows is refused.
    So is one of which it is not settled which lifetime of its replica began it.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        targets: Targets,
        finder: StreamFinder,
        open_streams: OpenStreams,
        continuations: Continuations,
        turns: TurnClock,
        metrics: Metrics,
    ) -> None:
        self._subscriber = subscriber
        self._targets = targets
        self._finder = finder
        self._open_streams = open_streams
        self._continuations = continuations
        self._turns = turns
        self._metrics = metrics
        self._memory = StreamMemory()
        # Kept at least as long as what `_memory` has of a stream, in the same order.
        self._starts: dict[str, tuple[StreamStart, float]] = {}

    def resolve(self, work: Work) -> None:
        """Set the version of a resumed stream; raises `TurnedAway`."""
        if not work.is_return:
            return
        if self._turns.has_stood_still(time.monotonic()):
            # The return may have been read before the news of a new version.
            handle_arrivals()
        origin, source = self._find(work)
        if origin is None:
            self._log(work, None, source, refused='version_unknown')
            raise _refusal(work, 'version_unknown')
        if not work.go_on_at(origin.version):
            self._log(work, origin, source, refused='service_gone')
            raise _refusal(work, 'service_gone')
        self._log(work, origin, source)

    def goes_on(self, work: Work) -> None:
        """Record that a stream is about to go on at a replica."""
        if work.stream and work.stream_version is not None and not work.has_gate:
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
        if not work.has_gate:
            self._note_open(work)

    def is_settled(self, work: Work) -> bool:
        """Return whether it is known which lifetime began the stream."""
        is_settled = work.start is None or self._continuations.settle(work.start)
        if not is_settled:
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
        return is_settled

    def _note_open(self, work: Work) -> None:
        start = work.start
        self._open_streams.begun(
            work.stream,
            work.stream_version,
            lambda: start is None or self._continuations.is_known(start),
        )

    def _note_start(self, stream: str, start: StreamStart, now: float) -> None:
        self._starts.pop(stream, None)
        self._starts[stream] = (start, now)
        while self._starts:
            stream, (_, noted_at) = next(iter(self._starts.items()))
            is_old = now - noted_at >= 2 * STREAM_RETENTION_S
            if not is_old and len(self._starts) <= MAX_STREAMS:
                return
            del self._starts[stream]

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
        if work.start is not None:
            self._note_start(work.stream, work.start, time.monotonic())
        self._memory.note(
            work.stream,
            work.stream_version,
            attempt=work.tries,
            is_confirmed=True,
            now=time.monotonic(),
        )

    def _find(self, work: Work) -> tuple[Origin | None, OriginSource]:
        now = time.monotonic()
        origin = self._memory.find(work.stream, now)
        if origin is not None:
            start, _ = self._starts.get(work.stream, (None, 0.0))
            is_settled = start is None or self._continuations.settle(start)
            return origin if is_settled else None, OriginSource.OWN
        # Of several services, it is not known which one began the stream.
        has_one_service = len(work.admitted.route.shares) == 1
        heard = self._subscriber.heard_controls(now)
        deduced = self._deduce(work, now) if heard > MIN_HEARD_CONTROLS else None
        if deduced is not None and has_one_service and heard == 1.0:
            return deduced, OriginSource.DEDUCED
        origin = self._ask_holders(work, now)
        if origin is not None:
            is_control = origin.holder in self._subscriber.controls()
            source = OriginSource.CONTROL if is_control else OriginSource.GATE
            return origin, source
        if deduced is not None:
            return deduced, OriginSource.DEDUCED
        return None, OriginSource.NONE

    def _deduce(self, work: Work, now: float) -> Origin | None:
        """Return the only version that can have begun the stream, or None."""
        horizon_s = HORIZON_TIMEOUTS * work.admitted.route.timeout_s
        age_s = self._subscriber.directory_age_s(now)
        is_covered = horizon_s <= min(age_s, GONE_RETENTION_S)
        if not is_covered:
            return None
        versions = self._subscriber.directory.versions(work.admitted.service)
        if len(versions) != 1:
            return None
        return Origin(
            version=next(iter(versions)),
            attempt=0,
            is_confirmed=True,
            noted_at=now - age_s,
        )

    def _ask_holders(self, work: Work, now: float) -> Origin | None:
        services = frozenset(share.service for share in work.admitted.route.shares)
        wait_s = SEARCH_PATIENCE_SHARE * patience_s(work, now)
        return self._finder.find(
            work.stream,
            lambda: self._holders(services),
            is_complete=lambda: (
                self._subscriber.contact_s(time.monotonic()) >= DIRECTORY_FILL_S
            ),
            until=now + min(MAX_SEARCH_S, wait_s),
        )

    def _holders(self, services: frozenset[str]) -> frozenset[str]:
        """Return the nodes that may know who began a stream."""
        controls = self._subscriber.heard(time.monotonic())
        return self._targets.all_gates(services).union(controls)

    def _log(
        self,
        work: Work,
        origin: Origin | None,
        source: OriginSource,
        *,
        refused: str = '',
    ) -> None:
        """Log a caller's return with half of a stream, allowed or refused."""
        now = time.monotonic()
        self._metrics.count(
            'stream_returns_total', source=source.value, refused=refused
        )
        logger.info(
            'stream_return',
            extra={
                'request': work.req.request_id,
                'stream': work.stream,
                'service': origin.version.service if origin else '',
                'software_version': origin.version.version if origin else '',
                'source': source.value,
                'holder': origin.holder if origin else '',
                'is_confirmed': origin.is_confirmed if origin else False,
                'attempt': origin.attempt if origin else -1,
                'age_ms': int((now - origin.noted_at) * 1000) if origin else -1,
                'searched_ms': int((now - work.started_at) * 1000),
                'refused': refused,
            },
        )


def _refusal(work: Work, reason: str) -> TurnedAway:
    remaining_s = work.remaining_s(time.monotonic())
    return TurnedAway(
        status=503,
        reason=reason,
        retry_after_s=retry_after_s(RETRY_AFTER_S, remaining_s),
    )
