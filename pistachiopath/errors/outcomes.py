"""Final outcomes of a request, one type each."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

ID_TOO_OLD = 'id_too_old'


class OutcomeKind(enum.StrEnum):
    """Kind of a final outcome, as sent in messages and error bodies."""

    COMPLETED = 'completed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    QUARANTINED = 'quarantined'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


class Ran(enum.StrEnum):
    """Whether a request with this id ran, as stated in an answer."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


# Outcomes of requests that did not run.
NOT_RUN = frozenset({OutcomeKind.REFUSED, OutcomeKind.EXPIRED, OutcomeKind.QUARANTINED})


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The run completed; its whole answer has `length` bytes."""

    status: int
    content_type: str
    length: int
    answer: bytes = b''
    kind = OutcomeKind.COMPLETED
    http_status = 200
    ran = Ran.YES


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request did not run; it may be sent again after `retry_after_ms`."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.REFUSED
    http_status = 429
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Expired:
    """The request did not run, as it could not have finished by its deadline."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.EXPIRED
    http_status = 504
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """The request did not run, because its content crashed targets before."""

    reason: str
    kind = OutcomeKind.QUARANTINED
    http_status = 422
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Failed:
    """The request ran and ended with an error."""

    reason: str
    kind = OutcomeKind.FAILED
    http_status = 502
    ran = Ran.YES


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run; this can no longer be determined."""

    reason: str
    kind = OutcomeKind.UNKNOWN
    http_status = 500
    ran = Ran.UNKNOWN


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The request is invalid, and this submission did not run it.

    If its id is too old to be remembered, it may have run before.
    """

    reason: str
    kind = OutcomeKind.REJECTED
    http_status = 400

    @property
    def ran(self) -> Ran:
        """Whether a request with this id ran."""
        return Ran.UNKNOWN if self.reason == ID_TOO_OLD else Ran.NO


Outcome: TypeAlias = (
    Completed | Refused | Expired | Quarantined | Failed | Unknown | Rejected
)
