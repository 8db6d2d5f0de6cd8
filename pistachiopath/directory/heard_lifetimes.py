"""When lifetimes of replicas announced themselves first and last."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..messages.directory import UNHEARD_MS, HeardLifetime

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..messages.directory import ReplicaRecord
    from .directory import Directory

# Streams of a lifetime that has ended, and their callers' returns, are over by then.
RETENTION_S = 120.0


@attrs.define(kw_only=True)
class _Heard:
    """A lifetime that was known at `known_at`, and heard by this node at `heard_at`.

    The next lifetime of its replica was known at `replaced_at`.
    """

    known_at: float
    heard_at: float = -math.inf
    replaced_at: float = -math.inf
    has_left: bool = False

    @property
    def last_at(self) -> float:
        """Time of the last that was learned of it."""
        return max(self.known_at, self.heard_at, self.replaced_at)


class HeardLifetimes:
    """Keeps when each lifetime became known, and when it announced itself here.

    What others forward may have been on its way for a long time, so it shows that a
    lifetime had begun, not that it still ran.  `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._lifetimes: dict[str, dict[int, _Heard]] = {}

    def known(self, record: ReplicaRecord, now: float) -> None:
        """Record a lifetime that has announced itself to some node."""
        self._lifetime(record.replica, record.born_ms, now)

    def heard(self, record: ReplicaRecord, at: float, now: float) -> None:
        """Record an announcement that arrived at `at` or later."""
        if at == -math.inf:
            return
        lifetime = self._lifetime(record.replica, record.born_ms, now)
        lifetime.heard_at = max(at, lifetime.heard_at)

    def left(self, replica: str, born_ms: int, at: float) -> None:
        """Record that a lifetime has said that it is over."""
        lifetime = self._lifetimes.get(replica, {}).get(born_ms)
        if lifetime is not None:
            lifetime.heard_at = max(at, lifetime.heard_at)
            lifetime.has_left = True

    def find(
        self,
        replicas: Iterable[str],
        now: float,
        *,
        quiet_since: Callable[[str], float],
    ) -> Iterator[HeardLifetime]:
        """Yield what is known of the lifetimes of some replicas.

        `quiet_since` returns since when nothing was announced of a replica.
        """
        for replica in replicas:
            quiet_s = now - quiet_since(replica)
            for born_ms, lifetime in self._lifetimes.get(replica, {}).items():
                is_heard = lifetime.heard_at > -math.inf
                yield HeardLifetime(
                    replica=replica,
                    born_ms=born_ms,
                    age_ms=_ms(now - lifetime.heard_at) + 1 if is_heard else UNHEARD_MS,
                    known_ms=_ms(now - lifetime.known_at),
                    quiet_ms=_ms(quiet_s),
                    has_left=lifetime.has_left,
                )

    def prune(self, directory: Directory, now: float) -> None:
        """Delete lifetimes that ended long ago."""
        for replica, lifetimes in list(self._lifetimes.items()):
            current = directory.get(replica)
            kept = {
                born_ms: lifetime
                for born_ms, lifetime in lifetimes.items()
                if now - lifetime.last_at < RETENTION_S
                or (current is not None and current.born_ms == born_ms)
            }
            if kept:
                self._lifetimes[replica] = kept
            else:
                del self._lifetimes[replica]

    def _lifetime(self, replica: str, born_ms: int, now: float) -> _Heard:
        lifetimes = self._lifetimes.setdefault(replica, {})
        if born_ms not in lifetimes:
            for earlier in lifetimes.values():
                earlier.replaced_at = now
            lifetimes[born_ms] = _Heard(known_at=now)
        return lifetimes[born_ms]


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
