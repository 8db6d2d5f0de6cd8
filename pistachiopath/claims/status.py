"""Status of a claim as reported to an entry."""

from __future__ import annotations

import enum


class ClaimStatus(enum.StrEnum):
    """Result of a command on a claim, or the state that it found."""

    BOUND = 'bound'
    HELD = 'held'
    RELEASED = 'released'
    REFUSED = 'refused'
    FINISHED = 'finished'
    CONFLICT = 'conflict'
    QUARANTINED = 'quarantined'
    SUSPECT_BUSY = 'suspect_busy'
    TARGET_RETIRED = 'target_retired'
    TOO_OLD = 'too_old'
