"""Simple choosers to compare with."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from .chooser import Choice, NoTarget

if TYPE_CHECKING:
    import random

    from ..claims.submission import Submission
    from .targets import KnownTarget, TargetTable

RETRY_MS = 1000


class _Baseline:
    """Chooses among the live targets by one rule; refuses nothing else."""

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._sent: dict[bytes, str] = {}
        self._own: Counter[str] = Counter()

    def choose(
        self, submission: Submission, excluded: frozenset[str], now: float
    ) -> Choice | NoTarget:
        """Return the target for a request, or why there is none."""
        self.ended(submission)
        known = sorted(
            (
                k
                for k in self._targets.candidates(submission.work.model, now, self._rng)
                if k.report.target not in excluded
            ),
            key=lambda k: k.report.target,
        )
        if not known:
            return NoTarget(reason='no_target', retry_after_ms=RETRY_MS)
        report = self._pick(known).report
        self._sent[submission.attempt] = report.target
        self._own[report.target] += 1
        return Choice(
            target=report.target,
            incarnation=report.incarnation,
            address=report.address,
        )

    def retry_after_ms(self) -> int:
        """Return when a refused caller should come back."""
        return RETRY_MS

    def ended(self, submission: Submission) -> None:
        """Take note that the chosen target does not hold the request."""
        target = self._sent.pop(submission.attempt, None)
        if target is not None:
            self._own[target] -= 1

    def _pick(self, known: list[KnownTarget]) -> KnownTarget:
        raise NotImplementedError


class RandomChooser(_Baseline):
    """Takes any live target."""

    def _pick(self, known: list[KnownTarget]) -> KnownTarget:
        return self._rng.choice(known)


class RoundRobin(_Baseline):
    """Takes live targets in turn."""

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        super().__init__(targets=targets, rng=rng)
        self._turn = itertools.count(rng.randrange(1000))

    def _pick(self, known: list[KnownTarget]) -> KnownTarget:
        return known[next(self._turn) % len(known)]


class LeastReportedLoad(_Baseline):
    """Takes the target with the fewest runs in its last report."""

    def _pick(self, known: list[KnownTarget]) -> KnownTarget:
        return min(known, key=lambda k: k.report.load.running + k.report.load.queued)


class ShortestOwnQueue(_Baseline):
    """Takes the target that holds the fewest requests of this entry."""

    def _pick(self, known: list[KnownTarget]) -> KnownTarget:
        return min(known, key=lambda k: self._own[k.report.target])
