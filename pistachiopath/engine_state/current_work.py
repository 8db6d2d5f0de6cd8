"""Speeds at which an entry expects an engine to work now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.grants import GateLoad

# Speeds change several times a second, so a measurement loses its weight over this
# time.  Engines thus come back into use gradually and not at one moment.
VALID_S = 0.6
DEFAULT_PROMPT_MS = 0.03
DEFAULT_OUTPUT_MS = 1.0
# A single measurement between few events may be far off.
MIN_RATIO = 0.5
MAX_RATIO = 4.0


@attrs.define(kw_only=True, frozen=True)
class CurrentWork:
    """Milliseconds per prompt token and per output token.

    `slowness` is that of the engine as a whole, 1 if it works as usual.
    """

    prompt_ms: float
    output_ms: float
    slowness: float


def average_work(load: GateLoad | None) -> CurrentWork:
    """Return the speeds over successful runs, defaults without a load."""
    if load is None:
        return CurrentWork(
            prompt_ms=DEFAULT_PROMPT_MS, output_ms=DEFAULT_OUTPUT_MS, slowness=1.0
        )
    return CurrentWork(
        prompt_ms=load.ms_per_1000_prompt_tokens / 1000,
        output_ms=load.ms_per_1000_output_tokens / 1000,
        slowness=1.0,
    )


def current_work(load: GateLoad, load_age_s: float) -> CurrentWork:
    """Return the current speeds as far as they are recent, else the averages.

    `load_age_s` is the time since the load was received.  An engine that is slow
    for one kind of work is slow for both, so the younger measurement stands in for
    one that is missing.
    """
    average = average_work(load)
    output = _ratio(
        load.current_ms_per_1000_output_tokens,
        load.ms_per_1000_output_tokens,
        load_age_s + load.output_age_ms / 1000,
    )
    prompt = _ratio(
        load.current_ms_per_1000_prompt_tokens,
        load.ms_per_1000_prompt_tokens,
        load_age_s + load.prompt_age_ms / 1000,
    )
    slowness = output or prompt or 1.0
    return CurrentWork(
        prompt_ms=average.prompt_ms * (prompt or slowness),
        output_ms=average.output_ms * slowness,
        slowness=slowness,
    )


def _ratio(current: int, average: int, age_s: float) -> float | None:
    """Return the current value in relation to the average, None if it is too old."""
    if current <= 0 or average <= 0 or not 0.0 <= age_s < VALID_S:
        return None
    ratio = min(MAX_RATIO, max(MIN_RATIO, current / average))
    return 1.0 + (1.0 - age_s / VALID_S) * (ratio - 1.0)
