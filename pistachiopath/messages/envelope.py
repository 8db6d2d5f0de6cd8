"""The envelope that carries one message."""

from __future__ import annotations

from .base import Message, message


@message
class Envelope:
    """A message with the call that it asks or answers; zero for none."""

    call: int
    body: Message
