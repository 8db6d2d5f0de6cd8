"""Records of a snapshot that are not kept as messages elsewhere."""

from __future__ import annotations

from .base import Message, message


@message
class StateHeader(Message):
    """Begins a snapshot; the clock is in milliseconds."""

    clock_ms: int
    fence: int
    revision: int
    configuration: bytes


@message
class TargetRecord(Message):
    """The newest incarnation of a target and the nonce that asked for it.

    `crashes` is the number of the last crash report that was counted, and
    `drained` tells that the incarnation left as planned.
    """

    target: str
    incarnation: int
    nonce: bytes
    retired: bool
    updated_ms: int
    crashes: int = 0
    drained: bool = False
