"""Speed of the engine, learned from the runs that it does."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Rate
from ..routing.prefix_index import MAX_TARGET_CHUNKS, PrefixIndex

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..gate.run import Run

SMOOTHING = 0.2
MIN_OUTPUT_TOKENS = 8
MIN_PREFILL_TOKENS = 256
SLOW_SHARE = 0.5
OWN_TARGET = ''


@attrs.define(kw_only=True)
class _Average:
    """Smoothed rates of a model in tokens a second, 0 while unknown."""

    prefill: float = 0.0
    decode: float = 0.0


@attrs.define(kw_only=True)
class _Started:
    """Prompt tokens that the engine had to process, 0 if that is not known."""

    fresh_tokens: int
    resumed: bool = False


class RateLearner:
    """Exponentially weighted rates by model.

    A prompt whose beginning was run here before is probably cached: the time
    to its first token says nothing about prefill.  A run that was paused says
    nothing about either.  Runs under way that are much slower than the average
    count at once, before they end, so that a straggler shows early.

    Times are seconds of the agent's clock, token counts come from the caller.
    """

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}
        self._started: dict[bytes, _Started] = {}
        self._prefixes = PrefixIndex()

    def started(self, run: Run, chunks: tuple[int, ...]) -> None:
        """Take note of a start; `chunks` are the hashes of the prompt's prefix."""
        if run.key in self._started:
            self._started[run.key] = _Started(fresh_tokens=0, resumed=True)
            return
        cached = self._prefixes.cached_tokens(OWN_TARGET, chunks)
        self._prefixes.record_prompt(OWN_TARGET, chunks, MAX_TARGET_CHUNKS)
        fresh = 0 if cached else run.work.prompt_tokens
        self._started[run.key] = _Started(fresh_tokens=fresh)

    def ended(self, run: Run, output_tokens: int) -> None:
        """Learn from a run that ended."""
        started = self._started.pop(run.key, None)
        if started is None or started.resumed:
            return
        average = self._averages.setdefault(run.work.model, _Average())
        to_first_s = run.first_byte_at - run.started_at
        if started.fresh_tokens >= MIN_PREFILL_TOKENS and to_first_s > 0:
            average.prefill = _smoothed(
                average.prefill, started.fresh_tokens / to_first_s
            )
        decode_s = run.ended_at - run.first_byte_at
        if output_tokens >= MIN_OUTPUT_TOKENS and decode_s > 0:
            average.decode = _smoothed(average.decode, output_tokens / decode_s)

    def forget(self, run: Run) -> None:
        """Drop a run that was refused or cancelled."""
        self._started.pop(run.key, None)

    def rates(self, running: Iterable[tuple[Run, int]], now: float) -> tuple[Rate, ...]:
        """Return the rates to announce, given the output of runs so far."""
        current = self._current(running, now)
        return tuple(
            Rate(
                model=model,
                prefill=average.prefill,
                decode=_seen_slow(average.decode, current.get(model, [])),
            )
            for model, average in self._averages.items()
        )

    def _current(
        self, running: Iterable[tuple[Run, int]], now: float
    ) -> dict[str, list[float]]:
        """Return the decode rates of runs under way by model."""
        current: dict[str, list[float]] = {}
        for run, tokens in running:
            started = self._started.get(run.key)
            if not run.first_byte_at or started is None or started.resumed:
                continue
            elapsed_s = now - run.first_byte_at
            if tokens >= MIN_OUTPUT_TOKENS and elapsed_s > 0:
                rates = current.setdefault(run.work.model, [])
                rates.append(tokens / elapsed_s)
        return current


def _seen_slow(average: float, current: list[float]) -> float:
    """Return the average, or the rate of runs under way if far below it."""
    seen = statistics.median(current) if current else average
    return seen if seen < SLOW_SHARE * average else average


def _smoothed(known: float, seen: float) -> float:
    return known + SMOOTHING * (seen - known) if known else seen
