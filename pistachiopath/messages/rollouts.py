"""Rollouts of software versions that are in force."""

from __future__ import annotations

from .base import Message, message


@message
class PastOrder(Message):
    """An order before the current one, and its age when that was accepted."""

    to: str
    order: int
    age_ms: int


@message
class RolloutRecord(Message):
    """A rollout as it is on the replicated log.

    `order` is the number of the accepted order among those of the service, and
    `serial` that of the record, which each change increases.  New requests go to
    version `to` in the share `share_ppm` (parts per million).  `earlier` are the
    versions that served when the order was accepted, and `barred` those that
    earlier rollouts have replaced or rolled back.  `elapsed_ms` is the time from
    the acceptance to the record.  `sent_new` and `sent_all` are lower bounds of the
    requests sent since the order, to the version and altogether.  `state` is a
    `RolloutState` value, and `stage` a `RolloutStage` value, which began `stage_ms`
    after the acceptance.  The stages `STEP` and `FULL` last `step_ms` and `full_ms`.
    """

    service: str
    to: str
    order: int
    serial: int
    duration_ms: int
    elapsed_ms: int
    state: str
    stage: str
    share_ppm: int
    stage_ms: int = 0
    step_ms: int = 0
    full_ms: int = 0
    earlier: tuple[str, ...] = ()
    barred: tuple[str, ...] = ()
    sent_new: int = 0
    sent_all: int = 0
    reason: str = ''
    past: tuple[PastOrder, ...] = ()


@message
class RolloutNotice(Message):
    """A record in force and the time since the sender applied it.

    The leader renews the records of active rollouts, so a greater age means that
    the sender has lost contact with it.
    """

    record: RolloutRecord
    age_ms: int
