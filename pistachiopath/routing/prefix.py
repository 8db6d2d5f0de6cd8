"""Chained hashes of the beginning of a prompt."""

from __future__ import annotations

import xxhash

from ..engine.tokens import BYTES_PER_TOKEN

CHUNK_TOKENS = 512
MAX_CHUNKS = 128


def prefix_chunks(body: bytes) -> tuple[int, ...]:
    """Return a hash for each whole leading chunk, chained to those before.

    Equal leading chunks of two bodies give equal hashes; at most
    `MAX_CHUNKS` are hashed.
    """
    size = CHUNK_TOKENS * BYTES_PER_TOKEN
    chain = 0
    chunks = []
    end = min(len(body), MAX_CHUNKS * size)
    for start in range(0, end - size + 1, size):
        chain = xxhash.xxh3_64_intdigest(body[start : start + size], seed=chain)
        chunks.append(chain)
    return tuple(chunks)
