"""Since when no replica of a service can have started again unnoticed."""

from __future__ import annotations

from ..streams.memory import STREAM_RETENTION_S


class RestartWatch:
    """Tells whether a replica of a service may have started again lately.

    While none has, other entries deduce the version of the service's streams.  A
    broken connection may be a restart, and so is any change of a replica's record.
    What was before this entry's own start, at `started_at`, is not known.  Times are
    seconds of a monotonic clock.

    >>> watch = RestartWatch(started_at=-1000.0)
    >>> watch.note('model', 5.0)
    >>> watch.is_recent('model', 6.0), watch.is_recent('other', 6.0)
    (True, False)
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._noted_at: dict[str, float] = {}

    def note(self, service: str, now: float) -> None:
        """Record that a replica of a service may have started again."""
        self._noted_at[service] = now

    def is_recent(self, service: str, now: float) -> bool:
        """Return whether streams may be taken up that began before it."""
        noted_at = self._noted_at.get(service, self._started_at)
        return now - max(noted_at, self._started_at) < STREAM_RETENTION_S
