"""Final outcomes of a request, one type each."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

ID_TOO_OLD = 'id_too_old'


class OutcomeKind(enum.StrEnum):
    """Tag of a final outcome, on the wire and in error bodies."""

    COMPLETED = 'completed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    QUARANTINED = 'quarantined'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


class Ran(enum.StrEnum):
    """What an answer says about whether the request ran, under its id."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


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
    ran = Ran.YES


@dataclass(frozen=True, kw_only=True)
class Refused:
    """Not run; the caller may send it again after `retry_after_ms`."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.REFUSED
    http_status = 429
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Expired:
    """Not run, because it could not have finished by its deadline."""

    reason: str
    retry_after_ms: int
    kind = OutcomeKind.EXPIRED
    http_status = 504
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """Not run, because its content has crashed targets before."""

    reason: str
    kind = OutcomeKind.QUARANTINED
    http_status = 422
    ran = Ran.NO


@dataclass(frozen=True, kw_only=True)
class Failed:
    """It ran and ended with an error."""

    reason: str
    kind = OutcomeKind.FAILED
    http_status = 502
    ran = Ran.YES


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """It may have run; nobody can tell any more."""

    reason: str
    kind = OutcomeKind.UNKNOWN
    http_status = 500
    ran = Ran.UNKNOWN


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """Not run by this submission, because the request itself is wrong.

    An id that is too old to be remembered may have run long ago.
    """

    reason: str
    kind = OutcomeKind.REJECTED
    http_status = 400

    @property
    def ran(self) -> Ran:
        """Whether the request ran under its id."""
        return Ran.UNKNOWN if self.reason == ID_TOO_OLD else Ran.NO


Outcome: TypeAlias = (
    Completed | Refused | Expired | Quarantined | Failed | Unknown | Rejected
)
