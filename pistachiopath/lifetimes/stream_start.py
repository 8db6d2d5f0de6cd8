"""Where a stream began."""

from __future__ import annotations

import attrs

from ..messages.directory import ReplicaRecord


@attrs.define(kw_only=True, frozen=True)
class StreamStart:
    """The replica that was chosen for a stream, and the connection of its first event.

    The process at the other end may be a later lifetime than that of `record`.
    `opened_at` and `begun_at` are seconds of a monotonic clock, of the connection's
    opening and of the first event.
    """

    record: ReplicaRecord
    opened_at: float
    begun_at: float
