"""What is known of the replica that began a stream."""

from __future__ import annotations

import attrs

from .service_version import ServiceVersion

# Stands for the attempt of a process that has brought the first event: whatever attempt
# that was, it counts more than one that is not confirmed.
BEGAN = 1_000_000


@attrs.define(kw_only=True, frozen=True)
class Origin:
    """The software version that began a stream.

    Before its first event a request may be tried at several replicas, so the
    `attempt` of the highest number counts.  `is_confirmed` means that this attempt
    brought an event, or continued the stream; otherwise an entry took its replica for
    the lifetime `born_ms` of `replica` when it asked for the place.  `noted_at` and
    `granted_at`, the time of that place, are in seconds of a monotonic clock.
    `holder` is the node that told it, empty if none did.

    With an `address`, what began the stream is the process of `replica` there, and its
    version is not known yet.  At the holder, `witness` is the connection that leads to
    it.  Elsewhere the process ran at least from `opened_at` until `alive_until`.
    """

    version: ServiceVersion
    attempt: int
    is_confirmed: bool
    noted_at: float
    holder: str = ''
    replica: str = ''
    born_ms: int = 0
    granted_at: float = 0.0
    address: str = ''
    witness: int = 0
    opened_at: float = 0.0
    alive_until: float = 0.0

    @property
    def rank(self) -> tuple[bool, int]:
        """Order of two origins of one stream; the greater one counts."""
        return (self.is_confirmed, self.attempt)
