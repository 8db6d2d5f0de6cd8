"""Streams whose requests a gate has granted places, and who began them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.streams import StreamOrigin, StreamOrigins
from ..streams.memory import StreamMemory
from ..streams.origin import Origin
from ..streams.service_version import ServiceVersion

if TYPE_CHECKING:
    from ..messages.grants import Ask, ReleasePlace

MAX_STREAMS_PER_MESSAGE = 1000


class BegunStreams:
    """Remembers the software versions for entries that lose their own memory.

    An entry names the lifetime that it takes the replica for, which may have ended.
    So a version is confirmed only by an entry that has proved it.  `now` is a
    monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._memory = StreamMemory()

    def granted(self, ask: Ask, now: float) -> None:
        """Record a place for a request, whose stream may begin or go on there."""
        if ask.stream:
            self._note(ask, now, is_confirmed=ask.is_resumed)

    def released(self, ask: Ask, body: ReleasePlace, now: float) -> None:
        """Record the end of a run; without a first event no stream began there."""
        if not ask.stream:
            return
        if not body.first_ms:
            self._memory.forget(ask.stream, ask.attempt)
        elif not body.is_unproven:
            self._note(ask, now, is_confirmed=True)

    def find(self, streams: tuple[str, ...], now: float) -> StreamOrigins:
        """Return what is known of streams."""
        found = []
        for stream in streams[:MAX_STREAMS_PER_MESSAGE]:
            origin = self._memory.find(stream, now)
            if origin is None:
                continue
            found.append(
                StreamOrigin(
                    stream=stream,
                    service=origin.version.service,
                    software_version=origin.version.version,
                    attempt=origin.attempt,
                    is_confirmed=origin.is_confirmed,
                    age_ms=int((now - origin.noted_at) * 1000),
                    replica=origin.replica,
                    born_ms=origin.born_ms,
                    granted_ms=int((now - origin.granted_at) * 1000) + 1,
                )
            )
        return StreamOrigins(origins=tuple(found))

    def _note(self, ask: Ask, now: float, *, is_confirmed: bool) -> None:
        origin = Origin(
            version=ServiceVersion(service=ask.service, version=ask.software_version),
            attempt=ask.attempt,
            is_confirmed=is_confirmed,
            noted_at=now,
            replica=ask.replica,
            born_ms=ask.born_ms,
            granted_at=now,
        )
        self._memory.note(ask.stream, origin)
