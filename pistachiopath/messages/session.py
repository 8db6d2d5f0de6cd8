"""Messages of the handshake that opens a link."""

from __future__ import annotations

from .base import Message, message


@message
class Challenge(Message):
    """First message, sent by the accepting side."""

    nonce: bytes


@message
class Hello(Message):
    """Identity of the connecting side and proof that it holds the secret."""

    name: str
    role: str
    nonce: bytes
    proof: bytes


@message
class Welcome(Message):
    """Proof that the accepting side holds the secret."""

    proof: bytes


@message
class Rejected(Message):
    """Refuses a frame or a link."""

    error: str
    detail: str
