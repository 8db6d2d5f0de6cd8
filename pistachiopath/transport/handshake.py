"""Mutual authentication by a shared secret when a link is opened."""

from __future__ import annotations

import hashlib
import hmac
import os
from typing import TYPE_CHECKING

import attrs

from ..errors.transport import MalformedFrame, Unauthenticated
from ..messages.envelope import Envelope
from ..messages.session import Challenge, Hello, Rejected, Welcome
from .codec import decode, encode

if TYPE_CHECKING:
    from ..messages.base import Message
    from .frames import FrameSocket

NONCE_BYTES = 16
ROLE_NODE = 'node'
ROLE_OPERATOR = 'operator'


@attrs.define(kw_only=True, frozen=True)
class Identity:
    """Name and role of a process, and the secrets that it holds, by role."""

    name: str
    role: str
    secrets: dict[str, bytes]


def _proof(secret: bytes, *parts: bytes) -> bytes:
    mac = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, 'little'))
        mac.update(part)
    return mac.digest()


def _read(frames: FrameSocket, expected: type, peer: str) -> Message:
    body = decode(frames.read()).body
    if isinstance(body, Rejected):
        raise Unauthenticated(peer=peer)
    if not isinstance(body, expected):
        raise MalformedFrame(reason='handshake')
    return body


def _write(frames: FrameSocket, body: Message) -> None:
    frames.write([encode(Envelope(call=0, body=body))])


def dial(frames: FrameSocket, identity: Identity, address: str) -> None:
    """Authenticate to the accepting side and verify its proof.

    Raises `Unauthenticated` if either side rejects the other's proof.
    """
    secret = identity.secrets[identity.role]
    challenge = _read(frames, Challenge, address)
    nonce = os.urandom(NONCE_BYTES)
    names = (identity.name.encode(), identity.role.encode())
    proof = _proof(secret, b'dial', challenge.nonce, nonce, *names)
    _write(
        frames,
        Hello(name=identity.name, role=identity.role, nonce=nonce, proof=proof),
    )
    welcome = _read(frames, Welcome, address)
    expected = _proof(secret, b'accept', nonce, challenge.nonce)
    if not hmac.compare_digest(welcome.proof, expected):
        raise Unauthenticated(peer=address)


def accept(frames: FrameSocket, identity: Identity) -> Hello:
    """Verify the proof of the dialling side and return its hello.

    Raises `Unauthenticated` if the proof is invalid.
    """
    own_nonce = os.urandom(NONCE_BYTES)
    _write(frames, Challenge(nonce=own_nonce))
    hello = _read(frames, Hello, '')
    secret = identity.secrets.get(hello.role)
    names = (hello.name.encode(), hello.role.encode())
    is_valid = secret is not None and hmac.compare_digest(
        hello.proof, _proof(secret, b'dial', own_nonce, hello.nonce, *names)
    )
    if not is_valid:
        _write(frames, Rejected(error='unauthenticated', detail=''))
        raise Unauthenticated(peer=hello.name)
    _write(frames, Welcome(proof=_proof(secret, b'accept', hello.nonce, own_nonce)))
    return hello
