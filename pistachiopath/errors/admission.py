"""Errors of requests that are refused before a `RequestFlow` is created."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError
from .outcomes import Ran

# A request with one of these errors is refused by every entry, at any time.
NEVER_ACCEPTED = frozenset(
    {'bad_json', 'bad_request', 'bad_request_id', 'undated_request_id'}
)


@dataclass(kw_only=True)
class BadRequest(PistachiopathError):
    """A submission was refused; no part of it ran."""

    code: str
    detail: str
    http_status: int = 400
    retry_after_ms: int = 0

    def ran(self, *, named: bool) -> Ran:
        """Return whether the request ran, also by an earlier submission.

        With `named`, the caller gave the request an id and may have sent it
        before.  An entry that refuses a submission because of a limit, its own
        shutdown or its configuration has not looked up that request's claim.
        """
        if named and self.code not in NEVER_ACCEPTED:
            return Ran.UNKNOWN
        return Ran.NO
