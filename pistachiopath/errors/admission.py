"""Requests that are refused before they become a flow."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError
from .outcomes import Ran

# What is wrong with these can never have been right, at any entry.
NEVER_ACCEPTED = frozenset(
    {'bad_json', 'bad_request', 'bad_request_id', 'undated_request_id'}
)


@dataclass(kw_only=True)
class BadRequest(PistachiopathError):
    """This submission can't be served as it is; nothing of it ran."""

    code: str
    detail: str
    http_status: int = 400
    retry_after_ms: int = 0

    def ran(self, *, named: bool) -> Ran:
        """Whether the request ran: its caller may have sent it before.

        An entry that turns a submission away for a limit, its own stop or
        its configuration has not looked at the claim of a named request.
        """
        if named and self.code not in NEVER_ACCEPTED:
            return Ran.UNKNOWN
        return Ran.NO
