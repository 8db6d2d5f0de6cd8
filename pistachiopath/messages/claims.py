"""Messages about the claim of a request on one target incarnation."""

from __future__ import annotations

from .base import Message, message


@message
class OutcomeRecord(Message):
    """A final outcome as sent and stored; `kind` is an `OutcomeKind` value.

    `answer` is set only for small answers of non-idempotent work, so that a
    caller that retries gets the stored answer even if the target is gone.
    """

    kind: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    status: int = 0
    content_type: str = ''
    length: int = 0
    answer: bytes = b''


@message
class Bind(Message):
    """Asks to bind a request to one target incarnation.

    `attempt` identifies the submission and makes a resent Bind idempotent.
    `after_refusal` is the log index of a refusal that the sender has proved
    to be older than its own submission, or zero if it knows of none.
    """

    key: bytes
    fingerprint: bytes
    attempt: bytes
    target: str
    incarnation: int
    address: str
    once: bool = False
    dated_ms: int = 0
    after_refusal: int = 0


@message
class Release(Message):
    """Releases a binding after proof that the request never started on its target."""

    key: bytes
    binding: int


@message
class Refuse(Message):
    """Commits that the request did not run, before the caller gets that answer."""

    key: bytes
    fingerprint: bytes
    kind: str
    reason: str
    retry_after_ms: int


@message
class Inquire(Message):
    """Asks for the state of a claim without changing it."""

    key: bytes


@message
class ClaimReply(Message):
    """State of a claim after a command; `status` is a `ClaimStatus` value.

    `refused_age_ms` is the time since the refusal was committed, by the
    clock of the leader that replies.  `target_left` is true if the target of
    the binding has shut down as planned, so that the answers it held are gone.
    """

    status: str
    binding: int = 0
    target: str = ''
    incarnation: int = 0
    address: str = ''
    bound_age_ms: int = 0
    refusal_index: int = 0
    refused_age_ms: int = 0
    outcome: OutcomeRecord = OutcomeRecord()
    target_left: bool = False


@message
class FinishItem(Message):
    """The final outcome of one run."""

    key: bytes
    binding: int
    outcome: OutcomeRecord


@message
class Finish(Message):
    """A batch of final outcomes from one agent."""

    items: tuple[FinishItem, ...]


@message
class Done(Message):
    """Acknowledges a command that has no other result."""
