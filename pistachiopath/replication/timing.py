"""Durations of the replication protocol, in seconds."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Timing:
    """Timeouts; an election timeout is drawn between its bounds."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    probe_s: float = 0.3
    snapshot_chunk_bytes: int = 512 * 1024
    max_entries: int = 256
