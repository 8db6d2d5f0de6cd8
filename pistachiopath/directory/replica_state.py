"""States of a replica that decide whether it gets new work."""

from __future__ import annotations

import enum


class ReplicaState(enum.StrEnum):
    """State of a replica, which only moves from READY to DRAINING to GONE.

    A new lifetime of the replica starts over.
    """

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'

    @property
    def rank(self) -> int:
        """Position in the order of states."""
        return list(ReplicaState).index(self)
