"""What is known of the replica that began a stream."""

from __future__ import annotations

import attrs

from .service_version import ServiceVersion


@attrs.define(kw_only=True, frozen=True)
class Origin:
    """The software version that began a stream.

    Before its first event a request may be tried at several replicas, so the
    `attempt` of the highest number counts.  `is_confirmed` means that this attempt
    brought an event, or continued the stream; otherwise an entry took its replica for
    the lifetime `born_ms` of `replica` when it asked for the place.  `noted_at` and
    `granted_at`, the time of that place, are in seconds of a monotonic clock.
    `holder` is the node that told it, empty if none did.
    """

    version: ServiceVersion
    attempt: int
    is_confirmed: bool
    noted_at: float
    holder: str = ''
    replica: str = ''
    born_ms: int = 0
    granted_at: float = 0.0

    @property
    def rank(self) -> tuple[bool, int]:
        """Order of two origins of one stream; the greater one counts."""
        return (self.is_confirmed, self.attempt)
