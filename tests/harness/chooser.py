"""A chooser for scenarios that does not change when the routing does."""

from __future__ import annotations

from pistachiopath.routing.baselines import RandomChooser
from pistachiopath.routing.chooser import NoTarget

REFUSED_SHARE = 0.05


class ScenarioChooser(RandomChooser):
    """Takes any live target, and at times refuses early."""

    def choose(self, submission, excluded, now):
        if self._rng.random() < REFUSED_SHARE:
            return NoTarget(reason='overload', retry_after_ms=500)
        return super().choose(submission, excluded, now)
