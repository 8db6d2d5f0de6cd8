"""The binding that a flow follows, and the messages that refer to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.claims import Release
from ..messages.dispatch import Attach, Cancel, Dispatch

if TYPE_CHECKING:
    from ..messages.claims import ClaimReply
    from .submission import Submission

DISPATCH_TRANSIT_MS = 1000
RECENT_BINDING_MS = 30 * 60 * 1000


@attrs.define(kw_only=True)
class Binding:
    """A granted binding as an entry knows it.

    `own` is true if this submission, and no other, may dispatch the binding.
    `acknowledged` is true once the agent has confirmed that it holds the run.
    `age_ms` is the age of the binding at `learned_at`, when the entry received
    the reply.  Times are in seconds of the entry's clock, ages in milliseconds.
    """

    key: bytes
    number: int
    target: str
    incarnation: int
    address: str
    own: bool
    age_ms: int
    learned_at: float
    acknowledged: bool = False

    @classmethod
    def from_reply(
        cls, key: bytes, reply: ClaimReply, now: float, *, own: bool
    ) -> Binding:
        """Return the binding that a reply describes."""
        return cls(
            key=key,
            number=reply.binding,
            target=reply.target,
            incarnation=reply.incarnation,
            address=reply.address,
            own=own,
            age_ms=reply.bound_age_ms,
            learned_at=now,
        )

    def may_be_in_transit(self, now: float) -> bool:
        """Return whether a dispatch of the binding may not have arrived yet."""
        return self._age_ms(now) < DISPATCH_TRANSIT_MS

    def dispatch(self, submission: Submission, now: float) -> Dispatch:
        """Return the message that hands the request to its agent."""
        remaining_s = max(0.0, submission.deadline - now)
        return Dispatch(
            key=self.key,
            binding=self.number,
            incarnation=self.incarnation,
            deadline_ms=int(remaining_s * 1000),
            work=submission.work,
        )

    def attach(self, offset: int, now: float) -> Attach:
        """Return the message that asks for the answer starting at an offset."""
        return Attach(
            key=self.key,
            binding=self.number,
            incarnation=self.incarnation,
            offset=offset,
            recent=DISPATCH_TRANSIT_MS <= self._age_ms(now) < RECENT_BINDING_MS,
        )

    def cancel(self) -> Cancel:
        """Return the message that stops the run if no other caller waits for it."""
        return Cancel(key=self.key, binding=self.number)

    def release(self) -> Release:
        """Return the command that releases a binding which never started."""
        return Release(key=self.key, binding=self.number)

    def _age_ms(self, now: float) -> float:
        return self.age_ms + (now - self.learned_at) * 1000
