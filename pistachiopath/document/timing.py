"""Durations of the replication protocol among control nodes."""

from __future__ import annotations

from ..replication.timing import Timing

# Control nodes lie within some ms of each other.  While no leader is known an
# entry that starts has no configuration, so a first election comes early.
DOCUMENT_TIMING = Timing(
    heartbeat_s=0.08,
    election_min_s=0.3,
    election_max_s=0.6,
    first_election_max_s=0.12,
)
