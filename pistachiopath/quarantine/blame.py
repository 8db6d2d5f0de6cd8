"""Decides which contents crash replicas, from all crashes that are known."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from .broken_run import BrokenRun, crash_moments, separate_crash_times
from .content import Content

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Crashes after which a content is blamed.  A part is in many requests, so more is
# asked, and more still if it has run well before.
WHOLE_REQUEST_CRASHES = 2
PART_CRASHES = 3
PROVEN_PART_CRASHES = 4
# Of parts that were in the same crashes one is blamed only after so many.
TIED_PART_CRASHES = 5
# Crashes of runs that began before the previous crash say less: so many more of
# them are asked, at different moments.
OVERLAPPING_EXTRA = 1


@attrs.define(kw_only=True, frozen=True)
class CrashHistory:
    """The crashes that broke off runs of one content since it last ran well.

    `runs` holds a run by the replica's lifetime.  `is_proven` tells whether the
    content has run well before these crashes.
    """

    content: Content
    runs: Mapping[str, BrokenRun]
    is_proven: bool

    @property
    def needed_crashes(self) -> int:
        """Number of crashes after which the content is blamed."""
        if not self.content.is_part:
            return WHOLE_REQUEST_CRASHES
        return PROVEN_PART_CRASHES if self.is_proven else PART_CRASHES


@attrs.define(kw_only=True, frozen=True)
class _Candidate:
    """A content with enough crashes that no blamed content explains."""

    history: CrashHistory
    lifetimes: frozenset[str]
    crashes: int
    blamed_at: float

    @property
    def rank(self) -> tuple:
        """Order in which candidates are blamed, the highest first.

        Of contents in equally many crashes these go first: what has not run well
        before, what was in enough crashes earlier, whole requests, and the later
        part of a prompt, which is in fewer requests.
        """
        history = self.history
        return (
            len(self.lifetimes),
            not history.is_proven,
            -self.blamed_at,
            not history.content.is_part,
            history.content.depth,
            history.content.key,
        )

    def is_like(self, other: _Candidate) -> bool:
        """Return whether another candidate of this kind was in all these crashes."""
        return (
            self.history is not other.history
            and self.history.content.is_part == other.history.content.is_part
            and self.history.is_proven == other.history.is_proven
            and self.lifetimes <= other.lifetimes
        )


def blamed_contents(histories: Iterable[CrashHistory]) -> dict[bytes, CrashHistory]:
    """Return the contents to blame: few that explain the crashes together.

    The content in most crashes goes first, and what it explains blames no other.
    So requests that ran beside it are not blamed, also where they were in as
    many crashes for a while.  The result depends on the crashes alone, not on
    the order in which they became known.
    """
    histories = list(histories)
    blamed: dict[bytes, CrashHistory] = {}
    explained: frozenset[str] = frozenset()
    while candidates := _candidates(histories, explained):
        first = max(candidates, key=lambda c: c.rank)
        rivals = [c for c in candidates if first.is_like(c)]
        explained |= first.lifetimes
        if not first.history.content.is_part:
            chosen = [first, *(c for c in rivals if c.lifetimes == first.lifetimes)]
        elif rivals and first.crashes < TIED_PART_CRASHES:
            # Undecided; another request will tell these parts apart.
            continue
        else:
            chosen = [first]
        blamed.update((c.history.content.key, c.history) for c in chosen)
    return blamed


def _candidates(
    histories: Iterable[CrashHistory], explained: frozenset[str]
) -> list[_Candidate]:
    found = []
    for history in histories:
        runs = {k: run for k, run in history.runs.items() if k not in explained}
        times = _counted_crashes(history, runs.values())
        if len(times) < history.needed_crashes:
            continue
        found.append(
            _Candidate(
                history=history,
                lifetimes=frozenset(runs),
                crashes=len(times),
                blamed_at=times[history.needed_crashes - 1],
            )
        )
    return found


def _counted_crashes(history: CrashHistory, runs: Collection[BrokenRun]) -> list[float]:
    """Return the times of the crashes that count against a content."""
    separate = separate_crash_times(runs)
    if not history.content.is_part:
        return separate
    overlapping = crash_moments(runs)[OVERLAPPING_EXTRA:]
    return max(separate, overlapping, key=len)
