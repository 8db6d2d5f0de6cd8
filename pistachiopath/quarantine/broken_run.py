"""A run whose replica broke it off."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Replicas that one cause takes down together end within this time.
SAME_MOMENT_S = 0.05


@attrs.define(kw_only=True, frozen=True)
class BrokenRun:
    """Start and end of a run that a replica broke off.

    Times are seconds of a monotonic clock.
    """

    started_at: float
    broken_at: float


def separate_crash_times(runs: Iterable[BrokenRun]) -> list[float]:
    """Return crash times, each of a run that began after the previous crash.

    Content that runs on many replicas is not blamed several times when several
    of them crash at once.
    """
    times: list[float] = []
    for run in sorted(runs, key=lambda r: r.broken_at):
        if not times or run.started_at >= times[-1]:
            times.append(run.broken_at)
    return times


def crash_moments(runs: Iterable[BrokenRun]) -> list[float]:
    """Return the times of crashes that did not come at the same moment."""
    times: list[float] = []
    for broken_at in sorted(run.broken_at for run in runs):
        if not times or broken_at - times[-1] >= SAME_MOMENT_S:
            times.append(broken_at)
    return times
