"""Conversion between outcomes and their wire form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.outcomes import (
    Completed,
    Expired,
    Failed,
    OutcomeKind,
    Quarantined,
    Refused,
    Rejected,
    Unknown,
)
from ..messages.claims import OutcomeRecord

if TYPE_CHECKING:
    from ..errors.outcomes import Outcome


def to_record(outcome: Outcome) -> OutcomeRecord:
    """Return the wire form of an outcome."""
    if isinstance(outcome, Completed):
        return OutcomeRecord(
            kind=outcome.kind,
            status=outcome.status,
            content_type=outcome.content_type,
            length=outcome.length,
            answer=outcome.answer,
        )
    retry_after_ms = getattr(outcome, 'retry_after_ms', 0)
    return OutcomeRecord(
        kind=outcome.kind, reason=outcome.reason, retry_after_ms=retry_after_ms
    )


def from_record(record: OutcomeRecord) -> Outcome:
    """Return the outcome of a wire form.

    Raises `ValueError` if the kind is unknown.
    """
    kind = OutcomeKind(record.kind)
    if kind is OutcomeKind.COMPLETED:
        return Completed(
            status=record.status,
            content_type=record.content_type,
            length=record.length,
            answer=record.answer,
        )
    if kind is OutcomeKind.REFUSED:
        return Refused(reason=record.reason, retry_after_ms=record.retry_after_ms)
    if kind is OutcomeKind.EXPIRED:
        return Expired(reason=record.reason, retry_after_ms=record.retry_after_ms)
    types = {
        OutcomeKind.QUARANTINED: Quarantined,
        OutcomeKind.FAILED: Failed,
        OutcomeKind.UNKNOWN: Unknown,
        OutcomeKind.REJECTED: Rejected,
    }
    return types[kind](reason=record.reason)
