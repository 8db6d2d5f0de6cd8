"""Records of a snapshot that have no message type elsewhere."""

from __future__ import annotations

from .base import Message, message


@message
class StateHeader(Message):
    """First record of a snapshot; `clock_ms` is the clock in milliseconds."""

    clock_ms: int
    fence: int
    revision: int
    configuration: bytes


@message
class TargetRecord(Message):
    """The newest incarnation of a target and the nonce of its registration.

    `crashes` is the number of the last crash report that was counted.
    `drained` is true if the incarnation shut down as planned.
    """

    target: str
    incarnation: int
    nonce: bytes
    retired: bool
    updated_ms: int
    crashes: int = 0
    drained: bool = False
