"""Cost of the work of a request at an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine_state.current_work import DEFAULT_OUTPUT_MS, DEFAULT_PROMPT_MS

if TYPE_CHECKING:
    from ..engine_state.current_work import CurrentWork

# Weight of the engine time in the cost: other requests can't use that time.
WORK_WEIGHT = 0.3


def default_work_ms(prompt_tokens: int, output_tokens: int) -> float:
    """Return the engine time in ms at an engine whose speed is not known."""
    return prompt_tokens * DEFAULT_PROMPT_MS + output_tokens * DEFAULT_OUTPUT_MS


def work_cost(
    speeds: CurrentWork, uncached: int, output_tokens: int, beside: float = 0.0
) -> float:
    """Return the cost in ms at the speeds of an engine.

    `uncached` is the number of prompt tokens that have to be read.  `beside` is the
    share of the engine's places with runs, all of which the prompt delays.
    """
    prompt_ms = uncached * speeds.prompt_ms
    output_ms = output_tokens * speeds.output_ms
    delay_ms = beside * prompt_ms
    return prompt_ms + WORK_WEIGHT * (prompt_ms + output_ms + delay_ms)
