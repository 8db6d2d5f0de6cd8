"""Messages about fencing numbers and orders to engines."""

from __future__ import annotations

from .base import Message, message


@message
class IssueFence(Message):
    """Asks for a fencing number higher than all previous ones."""


@message
class FenceIssued(Message):
    """A new fencing number."""

    fence: int


@message
class LoadedModel(Message):
    """A model on an engine; `ready` is false while it is being loaded."""

    model: str
    version: str
    adapters: tuple[str, ...]
    ready: bool


@message
class Order(Message):
    """Orders the engine of an agent to load a version of a model.

    `replaces` names another model that must be unloaded to make room, if any.
    """

    fence: int
    incarnation: int
    model: str
    version: str
    adapters: tuple[str, ...]
    replaces: str = ''


@message
class OrderReply(Message):
    """Result of an Order; `fence` is the highest fencing number seen.

    `accepted` is true if the order was passed on to the engine.
    """

    accepted: bool
    fence: int
