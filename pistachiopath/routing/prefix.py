"""Chained hashes of the leading chunks of a prompt."""

from __future__ import annotations

import xxhash

from ..engine.tokens import BYTES_PER_TOKEN

CHUNK_TOKENS = 512
MAX_CHUNKS = 128


def prefix_chunks(body: bytes) -> tuple[int, ...]:
    """Return a hash for each whole leading chunk, chained to the previous ones.

    Equal leading chunks of two bodies give equal hashes.  At most
    `MAX_CHUNKS` chunks are hashed.
    """
    chunk_bytes = CHUNK_TOKENS * BYTES_PER_TOKEN
    chain = 0
    hashes = []
    end = min(len(body), MAX_CHUNKS * chunk_bytes)
    for start in range(0, end - chunk_bytes + 1, chunk_bytes):
        chain = xxhash.xxh3_64_intdigest(body[start : start + chunk_bytes], seed=chain)
        hashes.append(chain)
    return tuple(hashes)
