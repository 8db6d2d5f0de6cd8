"""Memory of the software versions that began streams, bounded in time and number."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .origin import Origin

# A caller that lost its answer comes back within its deadline.
STREAM_RETENTION_S = 60.0
MAX_STREAMS = 20_000


class StreamMemory:
    """Keeps the origins of streams; the oldest ones are removed first.

    `now` is a monotonic clock in seconds.

    >>> from .service_version import ServiceVersion
    >>> from .origin import Origin
    >>> memory = StreamMemory()
    >>> v1 = ServiceVersion(service='s', version='v1')
    >>> memory.note(
    ...     'c/1', Origin(version=v1, attempt=1, is_confirmed=False, noted_at=0.0))
    >>> memory.find('c/1', 1.0).version.version
    'v1'
    >>> memory.find('c/1', 99.0) is None
    True
    """

    def __init__(
        self, *, retention_s: float = STREAM_RETENTION_S, max_streams: int = MAX_STREAMS
    ) -> None:
        self._retention_s = retention_s
        self._max_streams = max_streams
        # Ordered by the time of the last note.
        self._origins: dict[str, Origin] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def note(self, stream: str, origin: Origin) -> None:
        """Remember an origin unless a greater one is known."""
        now = origin.noted_at
        known = self._origins.pop(stream, None)
        if known is not None and known.rank > origin.rank:
            origin = attrs.evolve(known, noted_at=now)
        self._origins[stream] = origin
        self._remove_old(now)

    def find(self, stream: str, now: float) -> Origin | None:
        """Return the origin of a stream, or None if it is not known any more."""
        origin = self._origins.get(stream)
        if origin is None or self._is_old(origin, now):
            return None
        return origin

    def forget(self, stream: str, attempt: int) -> None:
        """Remove an attempt that ended without an event, if it is what is known."""
        origin = self._origins.get(stream)
        if origin is not None and origin.rank == (False, attempt):
            del self._origins[stream]

    def _remove_old(self, now: float) -> None:
        while self._origins:
            stream = next(iter(self._origins))
            is_excess = len(self._origins) > self._max_streams
            if not is_excess and not self._is_old(self._origins[stream], now):
                return
            del self._origins[stream]

    def _is_old(self, origin: Origin, now: float) -> bool:
        return now - origin.noted_at >= self._retention_s
