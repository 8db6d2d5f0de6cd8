"""Speed of the engine, learned from the runs that it did."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..engine.tokens import BYTES_PER_TOKEN
from ..messages.membership import Rate

if TYPE_CHECKING:
    from ..gate.run import Run

SMOOTHING = 0.2
MIN_OUTPUT_TOKENS = 8


@attrs.define(kw_only=True)
class _Average:
    prefill: float
    decode: float


class RateLearner:
    """Exponentially weighted rates by model, in tokens a second."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def ended(self, run: Run, output_tokens: int) -> None:
        """Learn from a run that ended."""
        to_first_s = run.first_byte_at - run.started_at
        decode_s = run.ended_at - run.first_byte_at
        if output_tokens < MIN_OUTPUT_TOKENS or to_first_s <= 0 or decode_s <= 0:
            return
        prefill = max(1, len(run.work.body) // BYTES_PER_TOKEN) / to_first_s
        self._add(run.work.model, prefill, output_tokens / decode_s)

    def rates(self) -> tuple[Rate, ...]:
        """Return the rates to announce."""
        return tuple(
            Rate(model=model, prefill=a.prefill, decode=a.decode)
            for model, a in self._averages.items()
        )

    def _add(self, model: str, prefill: float, decode: float) -> None:
        known = self._averages.get(model)
        if known is None:
            self._averages[model] = _Average(prefill=prefill, decode=decode)
            return
        known.prefill += SMOOTHING * (prefill - known.prefill)
        known.decode += SMOOTHING * (decode - known.decode)
