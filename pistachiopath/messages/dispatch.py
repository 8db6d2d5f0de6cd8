"""Messages between an entry and the agent of a target."""

from __future__ import annotations

from .base import Message, message
from .claims import OutcomeRecord


@message
class Work(Message):
    """What the engine or service has to be asked.

    `promised` work is never shed while work that is not is being served.
    Token counts are estimates made by the entry.
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
    """Hands a bound request to the agent of its target."""

    key: bytes
    binding: int
    incarnation: int
    deadline_ms: int
    work: Work


@message
class Attach(Message):
    """Asks for the answer of a run from a byte offset on.

    `recent` says that the binding is younger than the agent's retention, so
    that a run that is not held has never started.
    """

    key: bytes
    binding: int
    incarnation: int
    offset: int
    recent: bool


@message
class Accepted(Message):
    """The agent holds the run, queued or started."""

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
    """The agent holds no run of that name: it may have run before."""

    key: bytes
    binding: int


@message
class Chunk(Message):
    """Part of an answer; `offset` counts bytes from its beginning."""

    key: bytes
    binding: int
    offset: int
    status: int
    content_type: str
    data: bytes


@message
class End(Message):
    """The end of an answer of `length` bytes, with the final outcome."""

    key: bytes
    binding: int
    length: int
    outcome: OutcomeRecord


@message
class Cancel(Message):
    """The caller has gone: stop the run if nobody else waits for it."""

    key: bytes
    binding: int
