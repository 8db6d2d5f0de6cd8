"""One lifetime of a replica, from its start to its end."""

from __future__ import annotations

import enum

import attrs
import gevent.lock


class LifetimeState(enum.StrEnum):
    """What a replica says of itself."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.define(kw_only=True, eq=False)
class Lifetime:
    """Identity and state of a replica between a start and an end.

    It announces itself from `announces_from` on, monotonic seconds.  `sequence` counts
    its announcements and `runs` the requests that it ran;
    `waiting` requests wait for one of its `slots`.
    """

    replica: str
    place: str
    service: str
    version: str
    born_ms: int
    slots: gevent.lock.Semaphore
    waiting: int = 0
    state: LifetimeState = LifetimeState.READY
    sequence: int = 0
    runs: int = 0
    announces_from: float = 0.0
    says_leaving: bool = False
    is_ended: bool = False
