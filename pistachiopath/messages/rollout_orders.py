"""Messages that change and read the rollouts on the replicated log."""

from __future__ import annotations

from .base import Message, message
from .rollouts import RolloutRecord


@message
class OrderRollout(Message):
    """Orders a rollout; the record on the log decides whether it is accepted.

    `serving` are the versions of the service that the sender knows to serve.  The
    leader adds the number and the age of the order that it knows, and the number of
    the newest order whose repeats are over: the log knows no time.
    """

    service: str
    to: str
    duration_ms: int
    serving: tuple[str, ...] = ()
    known_order: int = 0
    known_age_ms: int = 0
    expired_order: int = 0


@message
class AdvanceRollout(Message):
    """Replaces the record of a service whose serial number is `expected`."""

    expected: int
    record: RolloutRecord


@message
class ReadRollout(Message):
    """Asks for the durable record of a service."""

    service: str


@message
class RolloutReply(Message):
    """Reply to an order or a read: what is durable.

    `is_refused` means that another version was ordered while a rollout is active.
    `records` holds the service's record, or nothing if it has had no rollout.
    """

    is_refused: bool
    records: tuple[RolloutRecord, ...] = ()


@message
class DocumentSnapshot(Message):
    """Snapshot of the document and the rollouts.

    Without rollouts the snapshot is a `PutDocument`, as older builds write it.
    """

    version: int
    content: bytes
    rollouts: tuple[RolloutRecord, ...] = ()
