"""Messages between an entry and the agent of a target."""

from __future__ import annotations

from .base import Message, message
from .claims import OutcomeRecord


@message
class Work(Message):
    """The request to send to the engine or service.

    `promised` work is never shed while other work is being served.  Token counts
    are the entry's estimates.
    """

    path: str
    method: str = 'POST'
    model: str = ''
    content_type: str = 'application/json'
    body: bytes = b''
    customer: str = ''
    tier: int = 0
    promised: bool = True
    once: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    traceparent: str = ''


@message
class Dispatch(Message):
    """Sends a bound request to the agent of its target."""

    key: bytes
    binding: int
    incarnation: int
    deadline_ms: int
    work: Work


@message
class Attach(Message):
    """Asks for the answer of a run, starting at a byte offset.

    `recent` is true if the binding is younger than the agent's retention.  A run
    that the agent does not hold then never started.
    """

    key: bytes
    binding: int
    incarnation: int
    offset: int
    recent: bool


@message
class Accepted(Message):
    """Confirms that the agent holds the run, either queued or started."""

    key: bytes
    binding: int


@message
class NotStarted(Message):
    """Proof that the run never started here and never will."""

    key: bytes
    binding: int
    reason: str
    retry_after_ms: int = 0


@message
class NotHeld(Message):
    """Reports that the agent does not hold the run, which may have run before."""

    key: bytes
    binding: int


@message
class Chunk(Message):
    """Part of an answer; `offset` is the position of its first byte."""

    key: bytes
    binding: int
    offset: int
    status: int
    content_type: str
    data: bytes


@message
class End(Message):
    """End of an answer of `length` bytes, with the final outcome."""

    key: bytes
    binding: int
    length: int
    outcome: OutcomeRecord


@message
class Cancel(Message):
    """Stops the run of a caller that disconnected, unless another one waits for it."""

    key: bytes
    binding: int
