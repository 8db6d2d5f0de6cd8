"""Limits on the size and duration of a caller's request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    # From a request's method and target to the bound on its body, beside the limits
    # in force.
    BodyLimit = Callable[[bytes, bytes], 'BodyBound']

STATUS_TOO_LARGE = 413


@attrs.define(kw_only=True, frozen=True)
class BodyBound:
    """Largest body of a request, and the status that refuses a larger one.

    None is read if `max_bytes` is 0.
    """

    max_bytes: float = math.inf
    status: int = STATUS_TOO_LARGE


UNBOUNDED = BodyBound()
UNREAD = BodyBound(max_bytes=0)


def usual_body(_method: bytes, _target: bytes) -> BodyBound:
    """Bound bodies by the limits in force alone."""
    return UNBOUNDED


def no_body(_method: bytes, _target: bytes) -> BodyBound:
    """Read no bodies."""
    return UNREAD


@attrs.define(kw_only=True, frozen=True)
class ExchangeLimits:
    """Limits in bytes and seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
