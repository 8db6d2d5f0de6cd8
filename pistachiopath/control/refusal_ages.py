"""How long ago refusals were committed, by this replica's own clock."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from ..claims.status import ClaimStatus
from ..messages.claims import ClaimReply

if TYPE_CHECKING:
    from ..messages.base import Message

MAX_REFUSALS = 50_000


class RefusalAges:
    """Remembers when this replica applied each refusal.

    A submission is a new try only if it was made after the refusal was
    committed.  The times of records are other leaders' clocks at creation;
    the time of applying is later than the commit and on one clock.  What was
    applied before a start, or is forgotten, counts from its next reply.
    """

    def __init__(self) -> None:
        self._applied_at: OrderedDict[int, float] = OrderedDict()

    def dated(self, reply: Message, now: float) -> Message:
        """Return a reply with the age of its refusal, if it has one."""
        if not isinstance(reply, ClaimReply) or reply.status != ClaimStatus.REFUSED:
            return reply
        applied_at = self._applied_at.get(reply.refusal_index)
        if applied_at is None:
            applied_at = self._note(reply.refusal_index, now)
        return attrs.evolve(reply, refused_age_ms=int((now - applied_at) * 1000))

    def _note(self, index: int, now: float) -> float:
        self._applied_at[index] = now
        while len(self._applied_at) > MAX_REFUSALS:
            self._applied_at.popitem(last=False)
        return now
