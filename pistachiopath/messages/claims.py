"""Messages about the claim of a request on one target incarnation."""

from __future__ import annotations

from .base import Message, message


@message
class OutcomeRecord(Message):
    """A final outcome in its wire form; `kind` is an `OutcomeKind` value.

    `answer` is kept only for small answers of non-idempotent work, so that
    a returning caller gets the stored answer even when the target is gone.
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
    to be older than its own submission; zero when it knows of none.
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
    """Reports proof that the binding never started on its target."""

    key: bytes
    binding: int


@message
class Refuse(Message):
    """Commits that the request was not run, before the caller is told so."""

    key: bytes
    fingerprint: bytes
    kind: str
    reason: str
    retry_after_ms: int


@message
class Inquire(Message):
    """Asks for the state of a claim and changes nothing."""

    key: bytes


@message
class ClaimReply(Message):
    """State of a claim after a command; `status` is a `ClaimStatus` value.

    `refused_age_ms` is the time since the refusal was committed, by the
    clock of the leader that replies.  `target_left` says that the target of
    the binding has left as planned, with the answers that it held.
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
