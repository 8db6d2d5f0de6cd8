"""Timeouts of the replication protocol between control nodes."""

from __future__ import annotations

from ..replication.timing import Timing

# Control nodes reach each other within a few milliseconds.  An entry that starts
# while there is no leader has no configuration, so the first election is early.
DOCUMENT_TIMING = Timing(
    heartbeat_s=0.08,
    election_min_s=0.3,
    election_max_s=0.6,
    first_election_max_s=0.12,
)
