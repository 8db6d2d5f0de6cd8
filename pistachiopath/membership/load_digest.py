"""Compact encoding of a target's load in a view."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Load

if TYPE_CHECKING:
    from collections.abc import Iterator

# Slot, age in AGE_UNIT_MS, number of running and queued requests, and four token
# counts in TOKEN_UNIT as IEEE half floats: 12 bytes, relative error below 0.1%.
_LAYOUT = struct.Struct('<HBBeeee')
DIGEST_BYTES = _LAYOUT.size
AGE_UNIT_MS = 10
TOKEN_UNIT = 64
MAX_BYTE = 255
MAX_HALF = 65_504.0


@attrs.define(kw_only=True, frozen=True)
class LoadDigest:
    """The load of the target in a slot as of `age_ms` ago."""

    slot: int
    age_ms: int
    load: Load


def pack(slot: int, age_ms: int, load: Load) -> bytes:
    """Return the digest of a load in `DIGEST_BYTES`; large values saturate."""
    return _LAYOUT.pack(
        slot,
        min(MAX_BYTE, -(-age_ms // AGE_UNIT_MS)),
        min(MAX_BYTE, load.running + load.queued),
        *(
            min(MAX_HALF, tokens / TOKEN_UNIT)
            for tokens in (
                load.prompt_tokens,
                load.output_tokens,
                load.promised_prompt_tokens,
                load.promised_output_tokens,
            )
        ),
    )


def unpack(data: bytes, windows: dict[int, int]) -> Iterator[LoadDigest]:
    """Yield the loads in `data`.

    `windows` has the window of each slot, from the description of its target.
    Slots without a window are skipped, as is an incomplete digest at the end.
    """
    complete_bytes = len(data) - len(data) % DIGEST_BYTES
    for slot, age, request_count, *tokens in _LAYOUT.iter_unpack(data[:complete_bytes]):
        window = windows.get(slot)
        if window is None:
            continue
        prompt, output, promised_prompt, promised_output = (
            _tokens(value) for value in tokens
        )
        load = Load(
            running=min(request_count, window),
            queued=max(0, request_count - window),
            window=window,
            prompt_tokens=prompt,
            output_tokens=output,
            promised_prompt_tokens=promised_prompt,
            promised_output_tokens=promised_output,
        )
        yield LoadDigest(slot=slot, age_ms=age * AGE_UNIT_MS, load=load)


def _tokens(value: float) -> int:
    """Return a token count; a value that `pack` never writes gives the largest."""
    if not 0.0 <= value <= MAX_HALF:
        value = MAX_HALF
    return round(value * TOKEN_UNIT)
