"""Speed and cache capacity of one engine."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class EngineProfile:
    """Parameters of the timing model; rates are in tokens per second.

    The duration of a step is that of its prefill plus one decode step.  The
    decode step takes `batch_cost` of its time longer for each further stream.
    `prefill_chunk` limits the tokens that a step prefills, and `slowdown`
    multiplies the duration.
    """

    prefill_tokens_s: float = 4000.0
    decode_tokens_s: float = 60.0
    batch_cost: float = 0.05
    max_batch: int = 16
    prefill_chunk: int = 512
    block_tokens: int = 16
    cache_blocks: int = 4096
    slowdown: float = 1.0
