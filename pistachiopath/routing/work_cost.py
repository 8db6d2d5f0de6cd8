"""Cost of the work of a request at an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.grants import GateLoad

# Weight of the engine time in the cost: other requests can't use that time.
WORK_WEIGHT = 0.3
DEFAULT_PROMPT_TOKEN_MS = 0.03
DEFAULT_OUTPUT_TOKEN_MS = 1.0


def work_cost(load: GateLoad | None, uncached: int, output_tokens: int) -> float:
    """Return the cost in ms at the average speeds that the gate reports.

    `uncached` is the number of prompt tokens that have to be read.
    """
    prompt_ms = uncached * DEFAULT_PROMPT_TOKEN_MS
    output_ms = output_tokens * DEFAULT_OUTPUT_TOKEN_MS
    if load is not None:
        prompt_ms = uncached * load.ms_per_1000_prompt_tokens / 1000
        output_ms = output_tokens * load.ms_per_1000_output_tokens / 1000
    return prompt_ms + WORK_WEIGHT * (prompt_ms + output_ms)
