"""Messages about what customers have used of their allowances."""

from __future__ import annotations

from .base import Message, message


@message
class CustomerUse(Message):
    """Total that one entry has let through for a customer since its start."""

    customer: str
    total: int


@message
class UseReport(Message):
    """What one entry has let through, for the other entries.

    `started_ms` tells one start of the entry from another; `heard` is how many
    entries it hears, itself included, and 0 where it doesn't say.
    """

    started_ms: int
    uses: tuple[CustomerUse, ...]
    heard: int = 0
