"""One request as its caller sees it."""

from __future__ import annotations

import enum
import math

import attrs

from .documents import CUSTOMER
from .request_kind import RequestKind


class Outcome(enum.StrEnum):
    """How an attempt ended for its caller."""

    OPEN = 'open'
    # A complete response, of any status.
    ANSWERED = 'answered'
    # The connection ended without a complete response.
    CUT = 'cut'
    # Bytes that are no response in the protocol.
    GARBLED = 'garbled'
    # The caller's patience ended first.
    TIMED_OUT = 'timed_out'
    # The caller closed its connection because it wanted no answer any more.
    GAVE_UP = 'gave_up'
    # The request could not be sent as a whole.
    NOT_SENT = 'not_sent'


@attrs.define(kw_only=True, frozen=True)
class EventSeen:
    """An event of a stream: its number, text and the replica's software version."""

    number: int
    text: str
    version: str


@attrs.define(kw_only=True)
class Attempt:
    """A request and its response.  All times are monotonic seconds.

    `entry` is the entry that took it, and `lifetime` counts the starts of that
    program.  `root` is the id of the first attempt of a stream that was resumed.
    `sent_at` is when the last byte was written, `head_at` when the response began.
    `configuration` is the version that an `EXTRA` route belongs to.
    """

    request: str
    kind: RequestKind
    path: str
    entry: str
    customer: str = CUSTOMER
    lifetime: int = 0
    root: str = ''
    last_event: int | None = None
    deadline_s: float = 5.0
    gives_up_after_s: float = math.inf
    configuration: int = 0
    began_at: float = 0.0
    sent_at: float = math.inf
    head_at: float = math.inf
    ended_at: float = math.inf
    outcome: Outcome = Outcome.OPEN
    status: int = 0
    signature: str = ''
    echoed: str = ''
    is_leaving: bool = False
    body: str = ''
    events: list[EventSeen] = attrs.field(factory=list)

    @property
    def is_success(self) -> bool:
        """Whether a complete response with a status of 200 to 299 came."""
        return self.outcome is Outcome.ANSWERED and 200 <= self.status < 300

    @property
    def label(self) -> str:
        """Status of a complete response, else how the attempt ended."""
        is_answered = self.outcome is Outcome.ANSWERED
        return str(self.status) if is_answered else str(self.outcome)

    @property
    def is_stream(self) -> bool:
        """Whether the response consists of events."""
        return self.kind.is_stream
