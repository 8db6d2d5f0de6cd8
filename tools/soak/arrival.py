"""One request as a replica sees it."""

from __future__ import annotations

import enum
import math

import attrs


class Ending(enum.StrEnum):
    """How an arrival ended at its replica."""

    OPEN = 'open'
    # The replica said that it does not run the request.
    REFUSED = 'refused'
    # The replica wrote the whole response.
    WHOLE = 'whole'
    # The replica itself broke off or wrote something else.
    BROKE_OFF = 'broke_off'
    # The connection was closed by the other side.
    CLOSED = 'closed'
    # The deadline that came with the request passed.
    EXPIRED = 'expired'


@attrs.define(kw_only=True)
class Arrival:
    """A request at a replica.  All times are monotonic seconds.

    `replica` is the replica's id, `born_ms` the start of its lifetime, and `place`
    the name of its VM.
    `ran_at` is when it began to work on the request.  `text` is the response's
    whole body.  `was_silent` tells whether the replica was silent for some time.
    """

    request: str
    replica: str
    place: str
    service: str
    version: str
    at: float
    born_ms: int = 0
    method: str = ''
    path: str = ''
    body: str = ''
    customer: str = ''
    expected: str = ''
    has_key: bool = False
    last_event: int | None = None
    ran_at: float = math.inf
    ended_at: float = math.inf
    ending: Ending = Ending.OPEN
    status: int = 0
    signature: str = ''
    backoff_s: float = 0.0
    says_leaving: bool = False
    was_silent: bool = False
    text: str = ''

    @property
    def ran(self) -> bool:
        """Whether the replica began to work on the request."""
        return self.ran_at < math.inf
