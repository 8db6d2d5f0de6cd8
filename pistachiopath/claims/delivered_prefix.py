"""The part of an answer that a caller has received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import Deliver

if TYPE_CHECKING:
    from ..errors.outcomes import Completed
    from ..messages.dispatch import Chunk


class DeliveredPrefix:
    """Assembles chunks of an answer, in any order, into a gapless prefix."""

    def __init__(self) -> None:
        self.length = 0

    def has_gap_before(self, chunk: Chunk) -> bool:
        """Return whether bytes before a chunk are still missing."""
        return chunk.offset > self.length

    def take(self, chunk: Chunk) -> list[Deliver]:
        """Return the delivery of the new bytes of a chunk without a gap before it."""
        data = chunk.data[self.length - chunk.offset :]
        if not data:
            return []
        self.length += len(data)
        return [
            Deliver(status=chunk.status, content_type=chunk.content_type, data=data)
        ]

    def rest(self, outcome: Completed) -> Deliver:
        """Return the delivery of the remaining bytes of a complete answer."""
        return Deliver(
            status=outcome.status,
            content_type=outcome.content_type,
            data=outcome.answer[self.length :],
        )
