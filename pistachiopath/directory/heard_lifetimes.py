"""When lifetimes of replicas announced themselves last."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.directory import HeardLifetime

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..messages.directory import ReplicaRecord

# Streams of a lifetime that has ended, and their callers' returns, are over by then.
RETENTION_S = 120.0


class HeardLifetimes:
    """Keeps when each lifetime announced itself to this control node.

    What others forward is left out: it may have been on its way for a long time.
    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._heard_at: dict[str, dict[int, float]] = {}

    def heard(self, record: ReplicaRecord, at: float) -> None:
        """Record an announcement that arrived at `at` or later."""
        if at == -math.inf:
            return
        lifetimes = self._heard_at.setdefault(record.replica, {})
        lifetimes[record.born_ms] = max(at, lifetimes.get(record.born_ms, at))

    def find(self, replicas: Iterable[str], now: float) -> Iterator[HeardLifetime]:
        """Yield what is known of the lifetimes of some replicas."""
        for replica in replicas:
            for born_ms, heard_at in self._heard_at.get(replica, {}).items():
                age_ms = int((now - heard_at) * 1000) + 1
                yield HeardLifetime(replica=replica, born_ms=born_ms, age_ms=age_ms)

    def prune(self, now: float) -> None:
        """Delete lifetimes that have not announced themselves for long."""
        for replica, lifetimes in list(self._heard_at.items()):
            kept = {b: at for b, at in lifetimes.items() if now - at < RETENTION_S}
            if kept:
                self._heard_at[replica] = kept
            else:
                del self._heard_at[replica]
