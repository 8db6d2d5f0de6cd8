"""A run of a request on this target."""

from __future__ import annotations

import enum

import attrs

from ..messages.claims import OutcomeRecord
from ..messages.dispatch import Work


class RunState(enum.StrEnum):
    """State of a run at the gate."""

    QUEUED = 'queued'
    RUNNING = 'running'
    PAUSED = 'paused'
    ENDED = 'ended'
    TOMBSTONE = 'tombstone'


@attrs.define(kw_only=True)
class Run:
    """A run, its answer so far and the entries subscribed to it.

    Times are seconds of the agent's clock.  `subscribers` maps the name of
    an entry to the offset of the next byte to send to it.  A run is resumable
    once the engine has named a stream that can be resumed.
    """

    key: bytes
    binding: int
    work: Work
    deadline: float
    arrived_at: float
    order: int
    state: RunState = RunState.QUEUED
    fair_tag: float = 0.0
    started: bool = False
    resumable: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    first_byte_at: float = 0.0
    status: int = 0
    content_type: str = ''
    answer: bytearray = attrs.field(factory=bytearray)
    answer_held: bool = True
    subscribers: dict[str, int] = attrs.field(factory=dict)
    outcome: OutcomeRecord | None = None
    reason: str = ''
    retry_after_ms: int = 0

    @property
    def priority(self) -> tuple[bool, int, float, float, int]:
        """Order in the queue: smaller values start first."""
        tier = (not self.work.promised, self.work.tier)
        return (*tier, self.fair_tag, self.deadline, self.order)
