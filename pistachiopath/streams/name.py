"""Names of streams, which stay the same over the attempts of a caller."""

from __future__ import annotations

import xxhash

MAX_ID_CHARS = 100
DIGEST_BYTES = 16


def stream_name(customer: str, first_attempt: str) -> str:
    """Return the name of a stream that began with the request `first_attempt`.

    Customers choose ids independently of each other, so the name holds both.

    >>> stream_name('c', '9c41d07b')
    'c/9c41d07b'
    """
    if len(first_attempt) > MAX_ID_CHARS:
        digest = xxhash.xxh3_128_hexdigest(first_attempt.encode())
        first_attempt = f'{first_attempt[:MAX_ID_CHARS]}~{digest}'
    return f'{customer}/{first_attempt}'


def stream_digest(stream: str) -> bytes:
    """Return the digest that stands for a name where many are sent.

    >>> len(stream_digest('c/9c41d07b')) == DIGEST_BYTES
    True
    """
    return xxhash.xxh3_128_digest(stream.encode())
