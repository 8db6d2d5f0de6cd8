"""Token rates of the engine, estimated from its runs."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Rate
from ..routing.prefix_index import MAX_TARGET_CHUNKS, PrefixIndex

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..gate.run import Run

SMOOTHING_FACTOR = 0.2
MIN_OUTPUT_TOKENS = 8
MIN_PREFILL_TOKENS = 256
SLOW_RATE_SHARE = 0.5
OWN_TARGET = ''


@attrs.define(kw_only=True)
class _AverageRates:
    """Smoothed rates of a model in tokens per second, 0 while unknown."""

    prefill: float = 0.0
    decode: float = 0.0


@attrs.define(kw_only=True)
class _RunStart:
    """Prompt tokens that the engine had to prefill, 0 if unknown."""

    uncached_tokens: int
    resumed: bool = False


class RateLearner:
    """Exponentially weighted moving averages of the rates of each model.

    A prompt whose prefix ran here before is probably cached, so its time to
    the first token is no sample of the prefill rate.  A run that was paused is
    a sample of neither rate.  Current runs that are much slower than the
    average lower the rate before they end, so that a straggler is found early.

    Times are seconds of the agent's clock.  Prompt token counts are those that
    the request states; output token counts are passed as arguments.
    """

    def __init__(self) -> None:
        self._averages: dict[str, _AverageRates] = {}
        self._started: dict[bytes, _RunStart] = {}
        self._prefixes = PrefixIndex()

    def run_started(self, run: Run, chunks: tuple[int, ...]) -> None:
        """Record a start; `chunks` are the hashes of the prompt's prefix."""
        if run.key in self._started:
            self._started[run.key] = _RunStart(uncached_tokens=0, resumed=True)
            return
        cached = self._prefixes.cached_tokens(OWN_TARGET, chunks)
        self._prefixes.record_prompt(OWN_TARGET, chunks, MAX_TARGET_CHUNKS)
        uncached = 0 if cached else run.work.prompt_tokens
        self._started[run.key] = _RunStart(uncached_tokens=uncached)

    def run_ended(self, run: Run, output_tokens: int) -> None:
        """Update the averages from a run that ended."""
        started = self._started.pop(run.key, None)
        if started is None or started.resumed:
            return
        average = self._averages.setdefault(run.work.model, _AverageRates())
        prefill_s = run.first_byte_at - run.started_at
        if started.uncached_tokens >= MIN_PREFILL_TOKENS and prefill_s > 0:
            average.prefill = _smoothed(
                average.prefill, started.uncached_tokens / prefill_s
            )
        decode_s = run.ended_at - run.first_byte_at
        if output_tokens >= MIN_OUTPUT_TOKENS and decode_s > 0:
            average.decode = _smoothed(average.decode, output_tokens / decode_s)

    def forget(self, run: Run) -> None:
        """Drop a run that was refused or cancelled."""
        self._started.pop(run.key, None)

    def rates(self, running: Iterable[tuple[Run, int]], now: float) -> tuple[Rate, ...]:
        """Return the rates to announce, given the output tokens of current runs."""
        running_rates = self._running_decode_rates(running, now)
        return tuple(
            Rate(
                model=model,
                prefill=average.prefill,
                decode=_announced_decode_rate(
                    average.decode, running_rates.get(model, [])
                ),
            )
            for model, average in self._averages.items()
        )

    def _running_decode_rates(
        self, running: Iterable[tuple[Run, int]], now: float
    ) -> dict[str, list[float]]:
        """Return the decode rates of the current runs by model."""
        rates_by_model: dict[str, list[float]] = {}
        for run, tokens in running:
            started = self._started.get(run.key)
            if not run.first_byte_at or started is None or started.resumed:
                continue
            elapsed_s = now - run.first_byte_at
            if tokens >= MIN_OUTPUT_TOKENS and elapsed_s > 0:
                rates = rates_by_model.setdefault(run.work.model, [])
                rates.append(tokens / elapsed_s)
        return rates_by_model


def _announced_decode_rate(average: float, running_rates: list[float]) -> float:
    """Return the average, or the median of current runs if it is far lower."""
    median = statistics.median(running_rates) if running_rates else average
    return median if median < SLOW_RATE_SHARE * average else average


def _smoothed(average: float, sample: float) -> float:
    return average + SMOOTHING_FACTOR * (sample - average) if average else sample
