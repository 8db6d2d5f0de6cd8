"""The binding that a flow follows, and the messages that name it."""

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
    """A granted binding; `learned_at` is when the entry heard of it.

    `own` tells that this submission alone may dispatch it, and
    `acknowledged` that its agent holds the run.  Times are seconds of the
    entry's clock, ages milliseconds.
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

    def may_be_on_its_way(self, now: float) -> bool:
        """Tell whether a dispatch of it may not have arrived yet."""
        return self._age_ms(now) < DISPATCH_TRANSIT_MS

    def dispatch(self, submission: Submission, now: float) -> Dispatch:
        """Return the message that hands the request to its agent."""
        left_s = max(0.0, submission.deadline - now)
        return Dispatch(
            key=self.key,
            binding=self.number,
            incarnation=self.incarnation,
            deadline_ms=int(left_s * 1000),
            work=submission.work,
        )

    def attach(self, offset: int, now: float) -> Attach:
        """Return the message that asks for the answer from an offset on."""
        return Attach(
            key=self.key,
            binding=self.number,
            incarnation=self.incarnation,
            offset=offset,
            recent=DISPATCH_TRANSIT_MS <= self._age_ms(now) < RECENT_BINDING_MS,
        )

    def cancel(self) -> Cancel:
        """Return the message that stops the run if nobody else waits."""
        return Cancel(key=self.key, binding=self.number)

    def release(self) -> Release:
        """Return the command that takes back what never started."""
        return Release(key=self.key, binding=self.number)

    def _age_ms(self, now: float) -> float:
        return self.age_ms + (now - self.learned_at) * 1000
