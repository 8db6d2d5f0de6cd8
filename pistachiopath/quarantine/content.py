"""What a run consists of, to find out which of it crashes replicas."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY_BYTES = 16
WHOLE_REQUEST_DEPTH = 0
# Bounds the work for one request.
MAX_PARTS = 64


@attrs.define(kw_only=True, frozen=True)
class Content:
    """A whole request, or a part of its prompt that other requests may share.

    `key` is the same in each request that has this content.  `depth` is 0 for
    the whole request, and the position in the prompt, from 1 on, for a part.
    """

    key: bytes
    depth: int = WHOLE_REQUEST_DEPTH

    @property
    def is_part(self) -> bool:
        """Whether this is a part of a prompt."""
        return self.depth > WHOLE_REQUEST_DEPTH


def shared_parts(model: str, part_ids: Sequence[str]) -> tuple[Content, ...]:
    """Return the parts of a prompt that other requests for the model may share.

    The last part belongs to its request alone.

    >>> [part.depth for part in shared_parts('m', ['a', 'b', 'c'])]
    [1, 2]
    """
    shared = part_ids[:-1][:MAX_PARTS]
    return tuple(
        Content(key=_part_key(model, part_id), depth=depth)
        for depth, part_id in enumerate(shared, start=1)
    )


def _part_key(model: str, part_id: str) -> bytes:
    digest = hashlib.blake2b(digest_size=KEY_BYTES, person=b'prompt-part')
    digest.update(len(model).to_bytes(4, 'little'))
    digest.update(model.encode('utf-8', 'surrogateescape'))
    digest.update(part_id.encode('utf-8', 'surrogateescape'))
    return digest.digest()
