"""Messages about fencing numbers of orders to engines."""

from __future__ import annotations

from .base import Message, message


@message
class IssueFence(Message):
    """Asks for a fencing number higher than every one before."""


@message
class FenceIssued(Message):
    """A new fencing number."""

    fence: int
