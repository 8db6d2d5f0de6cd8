"""Messages about the configuration in force."""

from __future__ import annotations

from .base import Message, message


@message
class Accept(Message):
    """Puts a configuration in force if the current revision is `expected`."""

    expected: int
    content: bytes


@message
class AcceptReply(Message):
    """Result of an Accept; `revision` is the revision now in force."""

    accepted: bool
    revision: int
    digest: bytes


@message
class ConfigurationRequest(Message):
    """Asks for the configuration in force."""


@message
class ConfigurationReply(Message):
    """The configuration in force; revision zero means that none was accepted yet."""

    revision: int
    content: bytes
