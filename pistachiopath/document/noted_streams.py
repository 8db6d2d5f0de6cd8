"""Streams that entries have noted at a control node, which outlives them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.streams import StreamOrigin, StreamOrigins
from ..streams.memory import StreamMemory
from ..streams.name import DIGEST_BYTES, stream_digest
from ..streams.origin import BEGAN, Origin
from ..streams.service_version import ServiceVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..messages.streams import ProcessNotes, StreamNotes

MAX_STREAMS_PER_MESSAGE = 1000


class NotedStreams:
    """Remembers the software versions that began streams, by their digests.

    Each of these streams has brought an event.  Of some only the process is known that
    brought it, and not its version: `span` returns from when until when the process
    that a witness leads to is known to have run.  `now` is a monotonic clock, in
    seconds.
    """

    def __init__(
        self,
        *,
        span: Callable[[int, float], tuple[float, float] | None] = lambda *_: None,
    ) -> None:
        self._memory = StreamMemory()
        self._span = span

    def __len__(self) -> int:
        return len(self._memory)

    def note(self, notes: Iterable[StreamNotes], now: float) -> None:
        """Record the streams that versions have begun."""
        for batch in notes:
            version = ServiceVersion(
                service=batch.service, version=batch.software_version
            )
            origin = Origin(version=version, attempt=0, is_confirmed=True, noted_at=now)
            for digest in _split(batch.digests):
                self._memory.note(digest.hex(), origin)

    def note_processes(self, notes: Iterable[ProcessNotes], now: float) -> None:
        """Record the streams that processes have begun whose version is not known."""
        for batch in notes:
            origin = Origin(
                version=ServiceVersion(service=batch.service, version=''),
                attempt=BEGAN,
                is_confirmed=False,
                noted_at=now,
                replica=batch.replica,
                address=batch.address,
                witness=batch.witness,
            )
            for digest in _split(batch.digests):
                self._memory.note(digest.hex(), origin)

    def find(self, streams: tuple[str, ...], now: float) -> StreamOrigins:
        """Return what is known of streams."""
        found = (self._find(name, now) for name in streams[:MAX_STREAMS_PER_MESSAGE])
        return StreamOrigins(origins=tuple(origin for origin in found if origin))

    def _find(self, stream: str, now: float) -> StreamOrigin | None:
        origin = self._memory.find(stream_digest(stream).hex(), now)
        if origin is None:
            return None
        span = self._span(origin.witness, now) if origin.address else (now, now)
        if span is None:
            return None
        return StreamOrigin(
            stream=stream,
            service=origin.version.service,
            software_version=origin.version.version,
            attempt=origin.attempt,
            is_confirmed=origin.is_confirmed,
            age_ms=int((now - origin.noted_at) * 1000),
            replica=origin.replica,
            address=origin.address,
            opened_ms=int((now - span[0]) * 1000),
            alive_ms=int((now - span[1]) * 1000) + 1,
        )


def _split(digests: bytes) -> Iterable[bytes]:
    """Return the whole digests, one by one."""
    for start in range(0, len(digests) - DIGEST_BYTES + 1, DIGEST_BYTES):
        yield digests[start : start + DIGEST_BYTES]
