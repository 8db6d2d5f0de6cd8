"""Errors on which an entry answers a request itself."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class TurnedAway(PistachiopathError):
    """The entry refuses a request, which did not run and will not run.

    `retry_after_s` is the time after which the caller should retry; None means
    that it should not.  If a customer's allowance is used up, `customer` names
    the customer and `cost` is what the request would have used.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    customer: str = ''
    cost: float = 0.0


@dataclass(kw_only=True)
class PlaceDenied(PistachiopathError):
    """The gate of an engine will have no free place in time."""

    retry_after_s: float


@dataclass(kw_only=True)
class GateLost(PistachiopathError):
    """The gate of an engine is unreachable."""

    gate: str
