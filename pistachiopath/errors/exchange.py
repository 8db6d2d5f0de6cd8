"""Errors of HTTP exchanges with callers and targets."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class BadHttp(PistachiopathError):
    """A caller sent an invalid request; `status` is the HTTP status to return."""

    status: int
    reason: str


@dataclass(kw_only=True)
class NumberTooLarge(PistachiopathError):
    """A number in a header or an event is above the largest that can be used."""

    maximum: int


@dataclass(kw_only=True)
class CallerLeft(PistachiopathError):
    """The caller closed its connection while its request was being served."""


@dataclass(kw_only=True)
class ServerStopping(PistachiopathError):
    """The server stops, so the request in progress has to be answered now."""


@dataclass(kw_only=True)
class ExchangeFailed(PistachiopathError):
    """An exchange with a target failed.

    `sent` is true if the target may have received the request.  Only if it is
    false is it certain that the request did not run.
    """

    address: str
    reason: str
    sent: bool


@dataclass(kw_only=True)
class ConnectFailed(ExchangeFailed):
    """No connection to the target could be opened before the timeout."""


@dataclass(kw_only=True)
class BrokenOff(ExchangeFailed):
    """The connection was closed or reset before the answer was complete."""


@dataclass(kw_only=True)
class Garbled(ExchangeFailed):
    """The target sent bytes that are not a valid answer to the request."""
