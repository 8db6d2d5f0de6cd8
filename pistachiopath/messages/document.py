"""Messages about the versioned configuration document."""

from __future__ import annotations

from .base import Message, message


@message
class PutDocument(Message):
    """Puts a document in force unless one of the same or a higher version is held."""

    version: int
    content: bytes


@message
class PutReply(Message):
    """Reply to a PutDocument with the highest durable version."""

    version: int


@message
class ReadDocument(Message):
    """Asks for the newest durable document."""


@message
class DocumentReply(Message):
    """The newest durable document at the time of the ReadDocument."""

    version: int
    content: bytes
