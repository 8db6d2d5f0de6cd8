"""Messages about orders to engines and their fencing numbers."""

from __future__ import annotations

from .base import Message, message


@message
class IssueFence(Message):
    """Asks for a fencing number higher than every one before."""


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
    """Tells the engine beside an agent to load a version of a model.

    `replaces` names the model that has to make room, if it is another one.
    """

    fence: int
    incarnation: int
    model: str
    version: str
    adapters: tuple[str, ...]
    replaces: str = ''


@message
class OrderReply(Message):
    """Whether an order was passed on; `fence` is the highest one seen."""

    accepted: bool
    fence: int
