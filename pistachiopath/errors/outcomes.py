"""Final outcomes of a request, one type each."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias


class OutcomeKind(enum.StrEnum):
    """Tag of a final outcome, on the wire and in error bodies."""

    COMPLETED = 'completed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    QUARANTINED = 'quarantined'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


# Outcomes that say that the request did not run.
NOT_RUN = frozenset({OutcomeKind.REFUSED, OutcomeKind.EXPIRED, OutcomeKind.QUARANTINED})


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The run ended; its whole answer has `length` bytes."""

    status: int
    content_type: str
    length: int
    answer: bytes = b''
    kind = OutcomeKind.COMPLETED
    http_status = 200


@dataclass(frozen=True, kw_only=True)
class Refused:
    """Not run; the caller may send it again after `retry_after_ms`."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.REFUSED
    http_status = 429


@dataclass(frozen=True, kw_only=True)
class Expired:
    """Not run, because it could not have finished by its deadline."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.EXPIRED
    http_status = 504


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """Not run, because its content has crashed targets before."""

    reason: str
    kind = OutcomeKind.QUARANTINED
    http_status = 422


@dataclass(frozen=True, kw_only=True)
class Failed:
    """It ran and ended with an error."""

    reason: str
    kind = OutcomeKind.FAILED
    http_status = 502


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """It may have run; nobody can tell any more."""

    reason: str
    kind = OutcomeKind.UNKNOWN
    http_status = 500


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """Not run by this submission, because the request itself is wrong."""

    reason: str
    kind = OutcomeKind.REJECTED
    http_status = 400


Outcome: TypeAlias = (
    Completed | Refused | Expired | Quarantined | Failed | Unknown | Rejected
)
