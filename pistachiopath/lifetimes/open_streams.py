"""Notes at a control node of the streams that no gate holds."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..messages.grants import WatchLoad
from ..messages.streams import StreamNotes
from ..streams.memory import MAX_STREAMS, STREAM_RETENTION_S
from ..streams.name import stream_digest
from ..streams.service_version import ServiceVersion
from ..util.later import call_later
from ..util.rendezvous import by_weight
from .stream_start import StreamStart

if TYPE_CHECKING:
    from collections.abc import Iterable

    import gevent

    from ..directory.subscriber import Subscriber
    from ..messages.base import Message
    from ..messages.streams import WitnessedProcess
    from ..telemetry.metrics import Metrics
    from .open_processes import OpenProcesses
    from .restart_watch import RestartWatch

logger = logging.getLogger(__name__)

# A stream that is complete by then is never noted.
NOTE_INTERVAL_S = 0.4
# The holder forgets a note after the retention, so that of a long stream is repeated.
REPEAT_INTERVAL_S = STREAM_RETENTION_S / 2
# Streams that break off together share a message.
FLUSH_S = 0.02
# A replica that reports in time has done so, once at least, within this time.
REPORT_WAIT_S = 1.5
# After a reply, bytes of the same process are awaited for this long.
WITNESS_FLUSH_S = 0.12
MAX_STREAMS_PER_MESSAGE = 1000


@attrs.define(kw_only=True)
class _OpenStream:
    """A stream, and when and where it was noted last.

    `version` is what the replica was taken for, and `proven` returns the version that
    is certain, None if none is.  `start` is where the stream began, None if this entry
    did not deliver its first event, and `has_gate` tells whether a gate holds it.  It
    was recorded at `begun_at`.
    `is_settled` tells whether its version was noted, not its process alone.  At
    `ended_at` its answer ended before the stream was complete.
    """

    version: ServiceVersion
    proven: Callable[[], ServiceVersion | None]
    start: StreamStart | None = None
    has_gate: bool = False
    begun_at: float = -math.inf
    is_settled: bool = False
    holder: str = ''
    noted_at: float = 0.0
    ended_at: float = math.inf


class OpenStreams:
    """Tells one control node the versions of the streams that this entry delivers.

    If this entry ends, the callers of these streams come back at others, which ask
    the control nodes.  Notes go to a control node on another VM if there is one.
    While a service has one version, and none of its replicas has started again lately,
    others deduce the version, and only streams are noted whose answers broke off, and
    these at once.  What is open is noted again when the control node is lost.

    A gate holds the version of its streams itself.  Of a stream whose version is not
    proven yet, gate or none, the process that began it is noted (`ProcessNotes`).
    """

    def __init__(
        self,
        *,
        own_address: str,
        subscriber: Subscriber,
        restarts: RestartWatch,
        send: Callable[[str, int, Message], None],
        metrics: Metrics,
        processes: OpenProcesses | None = None,
    ) -> None:
        self._own_address = own_address
        self._subscriber = subscriber
        self._restarts = restarts
        self._send = send
        self._metrics = metrics
        self._processes = processes
        self._holder = ''
        self._streams: dict[str, _OpenStream] = {}
        # Of each service, in the tick that goes on.
        self._deduced: dict[str, bool] = {}
        self._flush: gevent.Greenlet | None = None

    def __len__(self) -> int:
        return len(self._streams)

    def begun(
        self,
        stream: str,
        version: ServiceVersion,
        proven: Callable[[], ServiceVersion | None],
        *,
        start: StreamStart | None = None,
        has_gate: bool = False,
    ) -> None:
        """Record a stream that has begun, or goes on.

        It is noted once `proven` returns the version that is certain.  Until then the
        process is noted at which it began.
        """
        self._streams[stream] = _OpenStream(
            version=version,
            proven=proven,
            start=start,
            has_gate=has_gate,
            begun_at=start.begun_at if start else -math.inf,
        )
        if len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]

    def ended(self, stream: str, *, is_complete: bool, now: float) -> None:
        """Record the end of an answer; after a part of a stream its caller returns."""
        if is_complete:
            self._streams.pop(stream, None)
        elif stream in self._streams:
            self._streams[stream].ended_at = now
            self._flush = self._flush or call_later(FLUSH_S, self._note_ended)

    def handle_lost(self, peer: str) -> None:
        """Note the open streams again if the link to their holder was lost.

        The control node may have started again with empty memory.
        """
        if peer == self._holder:
            for noted in self._streams.values():
                noted.holder = ''
            self._forget_processes()

    def witnessed(
        self,
        holder: str,
        call: int,
        found: Iterable[WitnessedProcess],
        now: float,
    ) -> None:
        """Handle a reply: the holder has connections to processes."""
        if self._processes is None or holder != self._holder:
            return
        self._processes.witnessed(call, found, now)
        # Bytes that show the same process come soon.
        self._flush = self._flush or call_later(WITNESS_FLUSH_S, self._note_ended)

    def _forget_processes(self) -> None:
        if self._processes is not None:
            self._processes.forget()

    def tick(self, now: float) -> None:
        """Send the notes that are due."""
        self._choose_holder(now)
        self._deduced.clear()
        due = [name for name in self._streams if self._is_due(name, now)]
        if self._holder:
            for start in range(0, len(due), MAX_STREAMS_PER_MESSAGE):
                self._note(due[start : start + MAX_STREAMS_PER_MESSAGE], now)
            self._note_processes(now)
        self._drop_ended(now)

    def _note_ended(self) -> None:
        """Note the streams that have just broken off, whose callers come back."""
        self._flush = None
        self.tick(time.monotonic())

    def _choose_holder(self, now: float) -> None:
        """Keep the control node while it is heard."""
        heard = self._subscriber.heard(now)
        if self._holder in heard:
            return
        elsewhere = [a for a in heard if _host(a) != _host(self._own_address)]
        ranked = by_weight(self._own_address, elsewhere or heard)
        holder = ranked[0] if ranked else ''
        if holder != self._holder:
            self._holder = holder
            self._forget_processes()
            logger.info('stream_holder', extra={'holder': holder})

    def _is_due(self, stream: str, now: float) -> bool:
        noted = self._streams[stream]
        if not self._is_wanted(noted, now):
            return False
        is_old = now - noted.noted_at >= REPEAT_INTERVAL_S
        is_noted = noted.is_settled and noted.holder == self._holder
        if is_noted and not is_old:
            return False
        version = noted.proven()
        noted.version = version or noted.version
        if version is not None and noted.has_gate:
            # The gate holds the version.
            noted.is_settled, noted.holder = True, self._holder
            return False
        return version is not None

    def _is_wanted(self, noted: _OpenStream, now: float) -> bool:
        """Return whether others may need to be told of a stream."""
        if noted.ended_at < math.inf:
            return True
        if noted.has_gate and now - noted.begun_at < REPORT_WAIT_S:
            # Its gate is told of the version as soon as a report in time proves it.
            return False
        service = noted.version.service
        if service not in self._deduced:
            self._deduced[service] = self._is_deduced(service, now)
        return not self._deduced[service]

    def _note_processes(self, now: float) -> None:
        """Note the processes that began the streams whose version is not proven."""
        if self._processes is None:
            return
        begun = {
            name: noted.start
            for name, noted in self._streams.items()
            if noted.start is not None
            and not noted.is_settled
            and noted.holder != self._holder
            and self._is_wanted(noted, now)
        }
        call, notes, names = self._processes.notes(begun, now)
        for name in names:
            self._streams[name].holder = self._holder
            self._streams[name].noted_at = now
        if notes:
            self._send(self._holder, call, WatchLoad(slots=0, processes=notes))
        if names:
            logger.info(
                'processes_noted',
                extra={'holder': self._holder, 'streams': len(names)},
            )

    def _is_deduced(self, service: str, now: float) -> bool:
        """Return whether others can deduce the version of a service's streams."""
        if not self._subscriber.hears_majority(now):
            # Others may know of versions that this entry has not heard of.
            return False
        has_one_version = len(self._subscriber.directory.versions(service)) <= 1
        return has_one_version and not self._restarts.is_recent(service, now)

    def _note(self, streams: Iterable[str], now: float) -> None:
        by_version: dict[ServiceVersion, list[str]] = {}
        for name in streams:
            noted = self._streams[name]
            noted.holder, noted.noted_at = self._holder, now
            noted.is_settled = True
            by_version.setdefault(noted.version, []).append(name)
        notes = tuple(
            StreamNotes(
                service=version.service,
                software_version=version.version,
                digests=b''.join(stream_digest(name) for name in names),
            )
            for version, names in by_version.items()
        )
        self._send(self._holder, 0, WatchLoad(slots=0, notes=notes))
        count = sum(len(names) for names in by_version.values())
        self._metrics.count('streams_noted_total', count)
        logger.info('streams_noted', extra={'holder': self._holder, 'streams': count})

    def _drop_ended(self, now: float) -> None:
        """Remove the ended streams that are noted.

        What is never settled is dropped once its caller can't come back any more.
        """
        for name, noted in list(self._streams.items()):
            is_noted = noted.holder != '' and noted.holder == self._holder
            is_old = now - noted.ended_at >= STREAM_RETENTION_S
            if is_old or (noted.ended_at < math.inf and is_noted):
                del self._streams[name]


def _host(address: str) -> str:
    return address.rpartition(':')[0]
