"""The envelope of one message."""

from __future__ import annotations

from .base import Message, message


@message
class Envelope:
    """A message with its call number, which matches a reply to its request.

    The number is zero if the message belongs to no call.
    """

    call: int
    body: Message
