"""How a replica misbehaves at the moment."""

from __future__ import annotations

import time

import gevent.event

from .fault_kind import FaultKind

SLOWNESS = 5.0


class Behaviour:
    """Kinds of faults that are in effect at a replica.

    `awake` is cleared while the replica is silent.  Until `backoff_until` it turns
    all requests away with a time to wait.
    """

    def __init__(self) -> None:
        self.awake = gevent.event.Event()
        self.awake.set()
        self.backoff_until = 0.0
        self._kinds: set[FaultKind] = set()

    def begin(self, kind: FaultKind, for_s: float) -> None:
        """Misbehave until `reset`, which follows after `for_s` seconds."""
        self._kinds.add(kind)
        if kind is FaultKind.REPLICA_SILENT:
            self.awake.clear()
        if kind is FaultKind.REPLICA_BACKOFF:
            self.backoff_until = time.monotonic() + for_s

    def reset(self) -> None:
        """Behave well again; a backoff ends by itself."""
        self._kinds.clear()
        self.awake.set()

    def has(self, kind: FaultKind) -> bool:
        """Return whether a kind of fault is in effect."""
        return kind in self._kinds

    @property
    def slowness(self) -> float:
        """Factor by which all work takes longer."""
        return SLOWNESS if self.has(FaultKind.REPLICA_SLOW) else 1.0
