"""Results of an exchange with one replica."""

from __future__ import annotations

import attrs

from ..exchange.answer import AnswerHead


@attrs.define(kw_only=True, frozen=True)
class Delivered:
    """The caller has received the whole answer."""


@attrs.define(kw_only=True, frozen=True)
class NotRun:
    """The request certainly did not run at the replica.

    `arrived` tells whether the replica received it.
    """

    reason: str
    arrived: bool


@attrs.define(kw_only=True, frozen=True)
class TargetFailed:
    """The target answered with a failure; the request may have run."""

    head: AnswerHead
    body: bytes


@attrs.define(kw_only=True, frozen=True)
class Lost:
    """No complete answer was received; the request may have run.

    `delivered` tells whether the caller has received a part of an answer, and
    `broken_off` whether the replica ended the connection.
    """

    reason: str
    delivered: bool
    broken_off: bool = False


ExchangeResult = Delivered | NotRun | TargetFailed | Lost
