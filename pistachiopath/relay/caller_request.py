"""A caller's request and the values parsed from its headers."""

from __future__ import annotations

import attrs

from ..exchange.request import HttpRequest
from ..routing.prompt_part import PromptPart

# Bounds the length of a log line.
MAX_LOGGED_PARTS = 16


@attrs.define(kw_only=True, frozen=True)
class CallerRequest:
    """One attempt of a caller, as an entry sees it.

    `request_id` identifies the attempt; `deadline_s` is how many seconds the
    caller waits, or None.  A stream resumes after the event `last_event`,
    unless that is None; `resumes` is the id of the attempt that brought the first
    event, if the caller names it.  Token counts are those that the caller states;
    `has_counts` tells whether it states any.
    """

    http: HttpRequest
    request_id: str
    host: str
    key: str
    deadline_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    has_counts: bool = False
    model: str = ''
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None
    resumes: str = ''

    @property
    def part_ids(self) -> str:
        """Identities of the first parts of the prompt, for logs."""
        return ','.join(part.part_id for part in self.parts[:MAX_LOGGED_PARTS])
