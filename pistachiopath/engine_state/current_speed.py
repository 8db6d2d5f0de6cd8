"""Current speed of an engine, by the progress of its runs and by their prompts."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .report import EngineReport

# Runs advance by whole events, so a shorter time between two reports says little.
MIN_WINDOW_S = 0.06
# A longer one, as after a lost report or a standstill, is not about the present.
MAX_WINDOW_S = 0.6
# Measurements are compared with their own mean of the last seconds: the average of
# completed runs counts the maximum output, which many runs do not reach.
BASELINE_HALF_LIFE_S = 8.0
MIN_BASELINE_WINDOWS = 5
# Prompts whose first events came within this time of the newest one are averaged.
PROMPT_SPAN_S = 0.3
MAX_PROMPTS = 32
MIN_PROMPT_TOKENS = 200


@attrs.define(kw_only=True, frozen=True)
class Measured:
    """A measured value, and the time to which it applies."""

    value: float
    at: float

    def age_ms(self, now: float) -> int:
        """Return the age in milliseconds."""
        return max(0, int((now - self.at) * 1000))


class OutputSlowness:
    """How much longer than usual an output token takes, between two reports.

    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._last: EngineReport | None = None
        self._last_at = -math.inf
        self._mean_ms = 0.0
        self._mean_at = 0.0
        self._windows = 0
        self._current: Measured | None = None

    @property
    def current(self) -> Measured | None:
        """The last measurement: 1 is the usual time; None before there is one."""
        return self._current if self._windows >= MIN_BASELINE_WINDOWS else None

    def record(self, report: EngineReport, now: float) -> None:
        """Compare a report with the one before it."""
        elapsed_s = now - self._last_at
        if elapsed_s < MIN_WINDOW_S:
            return
        last, self._last, self._last_at = self._last, report, now
        if last is None or elapsed_s > MAX_WINDOW_S:
            return
        token_ms = _token_ms(last, report, elapsed_s)
        if token_ms is None:
            return
        self._update_mean(token_ms, now)
        at = now - elapsed_s / 2
        self._current = Measured(value=token_ms / self._mean_ms, at=at)

    def _update_mean(self, token_ms: float, now: float) -> None:
        self._windows += 1
        kept = 0.5 ** ((now - self._mean_at) / BASELINE_HALF_LIFE_S)
        # Until there are many measurements, each has the same weight.
        weight = max(1.0 / self._windows, 1.0 - kept)
        self._mean_ms += weight * (token_ms - self._mean_ms)
        self._mean_at = now


class PromptSpeed:
    """Time per prompt token of the runs that were given a place last.

    It includes cached prompts, as the average of completed runs does.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, int, float]] = collections.deque(
            maxlen=MAX_PROMPTS
        )

    def record(self, prompt_tokens: int, first_ms: float, at: float) -> None:
        """Record a run whose first event came at `at`."""
        if prompt_tokens >= MIN_PROMPT_TOKENS and first_ms > 0:
            self._samples.append((at, prompt_tokens, first_ms))

    @property
    def current(self) -> Measured | None:
        """Milliseconds per token of the latest prompts, None before there is one."""
        if not self._samples:
            return None
        last_at = max(at for at, _, _ in self._samples)
        since = last_at - PROMPT_SPAN_S
        recent = [sample for sample in self._samples if sample[0] >= since]
        tokens = sum(tokens for _, tokens, _ in recent)
        total_ms = sum(first_ms for _, _, first_ms in recent)
        at = sum(at for at, _, _ in recent) / len(recent)
        return Measured(value=total_ms / tokens, at=at)


def _token_ms(
    before: EngineReport, after: EngineReport, elapsed_s: float
) -> float | None:
    """Return the mean time of a run per output token, None if no run tells.

    A run that has written an event has read its prompt, so that the growth of its
    memory is output.  One whose tokens or events decrease is another one.
    """
    earlier = {run.name: run for run in before.runs if run.events}
    gains = [
        run.tokens - earlier[run.name].tokens
        for run in after.runs
        if run.name in earlier and run.events >= earlier[run.name].events
    ]
    gains = [gain for gain in gains if gain >= 0]
    if not gains:
        return None
    # An engine that stands still gains none.
    return 1000 * elapsed_s * len(gains) / max(1, sum(gains))
