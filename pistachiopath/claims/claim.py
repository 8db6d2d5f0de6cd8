"""One claim of the claim table."""

from __future__ import annotations

import enum

import attrs

from ..messages.claims import OutcomeRecord


class ClaimState(enum.StrEnum):
    """State of a claim; only in `BOUND` is there a live binding."""

    BOUND = 'bound'
    RELEASED = 'released'
    REFUSED = 'refused'
    FINISHED = 'finished'


@attrs.define(kw_only=True, on_setattr=attrs.setters.NO_OP)
class Claim:
    """A request and its current or last binding.

    Times are milliseconds of the replicated clock.  `binding` counts the
    bindings of the request from 1.  Only the codec needs the converter.
    """

    key: bytes
    fingerprint: bytes
    state: ClaimState = attrs.field(converter=ClaimState)
    expires_ms: int
    attempt: bytes = b''
    binding: int = 0
    target: str = ''
    incarnation: int = 0
    address: str = ''
    once: bool = False
    bound_ms: int = 0
    refusal_index: int = 0
    refused_ms: int = 0
    outcome: OutcomeRecord = OutcomeRecord()
