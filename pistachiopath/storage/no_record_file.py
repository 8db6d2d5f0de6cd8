"""Records on a VM without a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.base import Message


class NoRecordFile:
    """Stands in for `RecordFile` where nothing can be stored."""

    def load(self) -> list[Message]:
        """Return no records."""
        return []

    def save(self, records: Iterable[Message]) -> None:
        """Ignore the records."""
