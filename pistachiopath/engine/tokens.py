"""Token counts, prefix blocks and answers of the timing model."""

from __future__ import annotations

import hashlib

import xxhash

BYTES_PER_TOKEN = 4


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def prefix_blocks(text: str, block_tokens: int) -> tuple[int, ...]:
    """Return the chained hashes of the complete blocks of a text."""
    data = text.encode()
    size = block_tokens * BYTES_PER_TOKEN
    chain = 0
    blocks = []
    for start in range(0, len(data) - size + 1, size):
        chain = xxhash.xxh3_64_intdigest(data[start : start + size], seed=chain)
        blocks.append(chain)
    return tuple(blocks)


def answer_token(digest: str, position: int) -> str:
    """Return the answer token at a position, with the prompt's digest in it."""
    return f'{digest}.{position} '


def answer_digest(prompt: str) -> str:
    """Return the digest of a prompt; every token of its answer contains it."""
    return hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()


def answer_text(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt."""
    digest = answer_digest(prompt)
    return ''.join(answer_token(digest, position) for position in range(tokens))
