"""Durations of the replication protocol, in seconds."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Timing:
    """Timeouts and batch limits; an election timeout is drawn between its bounds.

    If `first_election_max_s` is given, it limits the first election timeouts
    after a start: members that were killed together restart together, and there
    is no leader to wait for.  The pre-vote protects a leader that is running.

    A follower is sent `window_bytes` of records before it confirms any.  Larger
    records than `part_bytes`, and snapshots, go in parts of that size, one at a
    time: a part and its reply show that both sides are alive, while a message of
    some megabytes takes longer than an election timeout.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    first_election_max_s: float | None = None
    probe_s: float = 0.3
    part_bytes: int = 64 * 1024
    window_bytes: int = 1024 * 1024
    max_entries: int = 256
