"""Identity of requests: claim keys, content fingerprints and dated ids."""

from __future__ import annotations

import hashlib
import uuid

KEY_BYTES = 16
UUID_TIME_SHIFT_BITS = 80
UUID7_VERSION = 7


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'little'))
        digest.update(part)
    return digest.digest()


def claim_key(customer: str, request_id: str) -> bytes:
    """Return the key of a request; keys of different customers differ."""
    return _digest(b'claim', customer.encode(), request_id.encode())


def fingerprint(customer: str, path: str, body: bytes) -> bytes:
    """Return the hash that identifies the content of a request."""
    return _digest(b'content', customer.encode(), path.encode(), body)


def dated_ms(request_id: str) -> int:
    """Return the creation time of a version 7 UUID, or 0 for any other id.

    >>> dated_ms('not a uuid')
    0
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return 0
    if parsed.version != UUID7_VERSION:
        return 0
    return parsed.int >> UUID_TIME_SHIFT_BITS


def make_request_id(now_ms: int, randomness: bytes) -> str:
    """Return a version 7 UUID made of the time and ten random bytes."""
    value = (now_ms << UUID_TIME_SHIFT_BITS) | int.from_bytes(randomness[:10], 'big')
    value &= ~(0xF000 << 64) & ~(0xC000 << 48)
    value |= (UUID7_VERSION << 76) | (0x8000 << 48)
    return str(uuid.UUID(int=value))
