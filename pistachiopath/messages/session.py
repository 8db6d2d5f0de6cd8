"""Messages that open a link."""

from __future__ import annotations

from .base import Message, message


@message
class Challenge(Message):
    """First message of the accepting side."""

    nonce: bytes


@message
class Hello(Message):
    """Identity of the dialling side with the proof of its secret."""

    name: str
    role: str
    nonce: bytes
    proof: bytes


@message
class Welcome(Message):
    """Proof of the accepting side."""

    proof: bytes


@message
class Rejected(Message):
    """Typed refusal of a frame or a link."""

    error: str
    detail: str
