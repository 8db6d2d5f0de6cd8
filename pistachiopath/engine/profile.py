"""Speed and memory of one engine."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class EngineProfile:
    """Parameters of the timing model; rates in tokens a second.

    A step of the batch takes the prefill of its new prompt tokens plus one
    decode step, which grows by `batch_cost` for each further stream.
    """

    prefill_tokens_s: float = 4000.0
    decode_tokens_s: float = 60.0
    batch_cost: float = 0.05
    max_batch: int = 16
    prefill_chunk: int = 512
    block_tokens: int = 16
    cache_blocks: int = 4096
    slowdown: float = 1.0
