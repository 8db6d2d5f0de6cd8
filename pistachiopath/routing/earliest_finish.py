"""Chooses the target that should finish a request first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .chooser import Choice, NoTarget
from .outstanding import Outstanding

if TYPE_CHECKING:
    import random

    from ..claims.submission import Submission
    from ..messages.dispatch import Work
    from ..messages.membership import Rate
    from .targets import KnownTarget, TargetTable

DEFAULT_PREFILL_TOKENS_S = 2000.0
DEFAULT_DECODE_TOKENS_S = 40.0
REPORT_LAG_S = 0.3
NEAR_RATIO = 1.1
NEAR_S = 0.02
RETRY_MIN_MS = 500
RETRY_SPREAD_MS = 1500


class EarliestFinish:
    """Estimates the finish on every live target and takes nearly the best.

    An estimate is the work ahead, by the last report and by what this entry
    has sent since, plus the request's own prefill and decode at the speed
    learned for the target.  A random choice among near-equals keeps entries
    with the same stale report from herding.
    """

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._outstanding = Outstanding()

    def choose(
        self, submission: Submission, excluded: frozenset[str], now: float
    ) -> Choice | NoTarget:
        """Return the target for a request, or why there is none."""
        work = submission.work
        estimates = [
            (self._finish_s(known, work), known)
            for known in self._targets.serving(work.model, now)
            if known.report.target not in excluded
        ]
        if not estimates:
            return NoTarget(reason='no_target', retry_after_ms=self._retry_ms(0.0))
        best = min(estimate for estimate, _ in estimates)
        if now + best > submission.deadline:
            late_s = now + best - submission.deadline
            return NoTarget(reason='overload', retry_after_ms=self._retry_ms(late_s))
        limit = best * NEAR_RATIO + NEAR_S
        near = [known for estimate, known in estimates if estimate <= limit]
        report = self._rng.choice(near).report
        self._outstanding.add(submission, report.target, now)
        return Choice(
            target=report.target,
            incarnation=report.incarnation,
            address=report.address,
        )

    def retry_after_ms(self) -> int:
        """Return when a refused caller should come back, spread at random."""
        return self._retry_ms(0.0)

    def ended(self, submission: Submission) -> None:
        """Take note that the chosen target does not hold the request."""
        self._outstanding.remove(submission)

    def _finish_s(self, known: KnownTarget, work: Work) -> float:
        report = known.report
        prefill, decode = self._speed(report.rates, work.model)
        own_prompt, own_output = self._outstanding.since(
            report.target, known.heard_at - REPORT_LAG_S
        )
        ahead_prompt = report.load.prompt_tokens + own_prompt
        ahead_output = report.load.output_tokens + own_output
        window = max(1, report.load.window)
        waiting = ahead_prompt / prefill + ahead_output / (decode * window)
        return waiting + work.prompt_tokens / prefill + work.output_tokens / decode

    @staticmethod
    def _speed(rates: tuple[Rate, ...], model: str) -> tuple[float, float]:
        for rate in rates:
            if rate.model == model and rate.prefill > 0 and rate.decode > 0:
                return rate.prefill, rate.decode
        return DEFAULT_PREFILL_TOKENS_S, DEFAULT_DECODE_TOKENS_S

    def _retry_ms(self, late_s: float) -> int:
        spread = self._rng.uniform(0, RETRY_SPREAD_MS + late_s * 1000)
        return int(RETRY_MIN_MS + late_s * 1000 + spread)
