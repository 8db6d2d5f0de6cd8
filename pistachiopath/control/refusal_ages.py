"""Ages of refusals, measured by the clock of this replica."""

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
    """Records when this replica applied each refusal.

    A submission is a new try only if it was made after the refusal was
    committed.  The time in a log record isn't used for this, because it comes
    from the clock of the leader that created the record.  The time of applying
    is later than the commit and always comes from this replica's clock.  The
    age of a refusal that was applied before this process started, or that has
    been evicted, counts from the next reply with it.
    """

    def __init__(self) -> None:
        self._applied_at: OrderedDict[int, float] = OrderedDict()

    def with_age(self, reply: Message, now: float) -> Message:
        """Return the reply with the age of its refusal, if it is a refusal."""
        if not isinstance(reply, ClaimReply) or reply.status != ClaimStatus.REFUSED:
            return reply
        applied_at = self._applied_at.get(reply.refusal_index)
        if applied_at is None:
            applied_at = self._record(reply.refusal_index, now)
        return attrs.evolve(reply, refused_age_ms=int((now - applied_at) * 1000))

    def _record(self, index: int, now: float) -> float:
        self._applied_at[index] = now
        while len(self._applied_at) > MAX_REFUSALS:
            self._applied_at.popitem(last=False)
        return now
