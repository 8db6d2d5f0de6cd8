"""Serialization of the whole replicated state."""

from __future__ import annotations

from ..transport.codec import decode_message, encode_message
from ..transport.frames import FrameBuffer, pack
from .replicated_state import ReplicatedState


def pack_state(state: ReplicatedState) -> bytes:
    """Return a snapshot of a state."""
    return b''.join(pack(encode_message(record)) for record in state.records())


def unpack_state(data: bytes) -> ReplicatedState:
    """Return the state of a snapshot; raises `MalformedFrame`."""
    buffer = FrameBuffer()
    buffer.feed(data)
    return ReplicatedState.from_records(
        decode_message(payload) for payload in iter(buffer.next, None)
    )
