"""Simple choosers that `EarliestFinish` is compared with."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from .chooser import Choice, NoTarget

if TYPE_CHECKING:
    import random

    from ..claims.submission import Submission
    from .targets import KnownTarget, TargetTable

RETRY_AFTER_MS = 1000


class _Baseline:
    """Chooses by one rule; refuses a request only if there is no live target."""

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._target_by_attempt: dict[bytes, str] = {}
        self._outstanding: Counter[str] = Counter()

    def choose(
        self, submission: Submission, excluded: frozenset[str], now: float
    ) -> Choice | NoTarget:
        """Return the target for a request, or why there is none."""
        self.ended(submission)
        candidates = sorted(
            (
                c
                for c in self._targets.candidates(submission.work.model, now, self._rng)
                if c.report.target not in excluded
            ),
            key=lambda c: c.report.target,
        )
        if not candidates:
            return NoTarget(reason='no_target', retry_after_ms=RETRY_AFTER_MS)
        report = self._pick(candidates).report
        self._target_by_attempt[submission.attempt] = report.target
        self._outstanding[report.target] += 1
        return Choice(
            target=report.target,
            incarnation=report.incarnation,
            address=report.address,
        )

    def retry_after_ms(self) -> int:
        """Return the delay after which a refused caller should retry."""
        return RETRY_AFTER_MS

    def ended(self, submission: Submission) -> None:
        """Stop counting a submission as outstanding at its chosen target."""
        target = self._target_by_attempt.pop(submission.attempt, None)
        if target is not None:
            self._outstanding[target] -= 1

    def _pick(self, candidates: list[KnownTarget]) -> KnownTarget:
        raise NotImplementedError


class RandomChooser(_Baseline):
    """Chooses any live target at random."""

    def _pick(self, candidates: list[KnownTarget]) -> KnownTarget:
        return self._rng.choice(candidates)


class RoundRobin(_Baseline):
    """Chooses the live targets in turn."""

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        super().__init__(targets=targets, rng=rng)
        self._turn = itertools.count(rng.randrange(1000))

    def _pick(self, candidates: list[KnownTarget]) -> KnownTarget:
        return candidates[next(self._turn) % len(candidates)]


class LeastReportedLoad(_Baseline):
    """Chooses the target with the fewest running and queued runs in its last report."""

    def _pick(self, candidates: list[KnownTarget]) -> KnownTarget:
        return min(
            candidates, key=lambda c: c.report.load.running + c.report.load.queued
        )


class ShortestOwnQueue(_Baseline):
    """Chooses the target with the fewest outstanding requests of this entry."""

    def _pick(self, candidates: list[KnownTarget]) -> KnownTarget:
        return min(candidates, key=lambda c: self._outstanding[c.report.target])
