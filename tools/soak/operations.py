"""What the operator and the replicas were told by the control nodes."""

from __future__ import annotations

import math

import attrs


@attrs.define(kw_only=True)
class Put:
    """A configuration that was sent; `acked_at` is infinite without a clear answer."""

    version: int
    content: str
    sent_at: float
    is_valid: bool = True
    acked_at: float = math.inf
    status: int = 0


@attrs.define(kw_only=True, frozen=True)
class Read:
    """A configuration that was read back; `version` is 0 if there was none."""

    node: str
    sent_at: float
    ended_at: float
    status: int
    version: int = 0
    content: str = ''


@attrs.define(kw_only=True, frozen=True)
class Departure:
    """An acknowledgement that a replica is leaving or gone."""

    replica: str
    place: str
    acked_at: float
    node: str
    born_ms: int = 0


@attrs.define(kw_only=True)
class SoftwareSpan:
    """The time in which a place had a replica of a software version."""

    place: str
    version: str
    began_at: float
    ended_at: float = math.inf


@attrs.define(kw_only=True, frozen=True)
class OwnEnd:
    """A program that ended though nobody ended it."""

    program: str
    at: float
    code: int


@attrs.define(kw_only=True, frozen=True)
class UncaughtError:
    """An error in a program's log that nothing has handled."""

    program: str
    text: str


@attrs.define(kw_only=True, frozen=True)
class Usage:
    """Memory and descriptors of a process at a moment."""

    program: str
    pid: int
    at: float
    rss_mb: float
    descriptors: int
