"""Messages with which operators query a control replica."""

from __future__ import annotations

from .base import Message, message


@message
class StatusRequest(Message):
    """Asks a control replica for its status."""


@message
class Status(Message):
    """Status of one control replica, as a JSON document."""

    document: str
