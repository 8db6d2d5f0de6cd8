"""Choosers for scenarios, among them one independent of the routing code."""

from __future__ import annotations

from pistachiopath.routing.baselines import RandomChooser
from pistachiopath.routing.chooser import NoTarget

REFUSED_SHARE = 0.05


class WatchedChooser:
    """Reports each promised request that a chooser refuses for overload."""

    def __init__(self, *, chooser, on_overload):
        self._chooser = chooser
        self._on_overload = on_overload

    def __getattr__(self, name):
        return getattr(self._chooser, name)

    def choose(self, submission, excluded, now):
        choice = self._chooser.choose(submission, excluded, now)
        overload = isinstance(choice, NoTarget) and choice.reason == 'overload'
        if overload and submission.work.promised:
            self._on_overload(submission)
        return choice


class ScenarioChooser(RandomChooser):
    """Chooses any live target; refuses a share of requests if `refuses` is set."""

    def __init__(self, *, targets, rng, refuses=True):
        super().__init__(targets=targets, rng=rng)
        self._refused_share = REFUSED_SHARE if refuses else 0.0

    def choose(self, submission, excluded, now):
        if self._rng.random() < self._refused_share:
            return NoTarget(reason='overload', retry_after_ms=500)
        return super().choose(submission, excluded, now)
