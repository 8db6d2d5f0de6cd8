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
# asked, and more still if it has run well before.  A whole request that crashes
# replicas crashes each, so one that has run well was most likely only there.
WHOLE_REQUEST_CRASHES = 2
PROVEN_REQUEST_CRASHES = 5
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
    def has_trials(self) -> bool:
        """Whether the content is tried again while it is in quarantine.

        A request that has never run well may crash a replica in each trial.
        """
        return self.content.is_part or self.is_proven

    @property
    def needed_crashes(self) -> int:
        """Number of crashes after which the content is blamed."""
        if not self.content.is_part:
            return PROVEN_REQUEST_CRASHES if self.is_proven else WHOLE_REQUEST_CRASHES
        return PROVEN_PART_CRASHES if self.is_proven else PART_CRASHES


@attrs.define(kw_only=True, frozen=True)
class _Candidate:
    """A content with enough crashes that no blamed content explains.

    Candidates are blamed in the order of `rank`, the highest first.
    """

    history: CrashHistory
    lifetimes: frozenset[str]
    crashes: int
    rank: tuple

    def is_like(self, other: _Candidate) -> bool:
        """Return whether another candidate of this kind was in all these crashes."""
        return (
            self.history is not other.history
            and self.history.content.is_part == other.history.content.is_part
            and self.history.is_proven == other.history.is_proven
            and self.lifetimes <= other.lifetimes
        )


class _Candidates:
    """The candidates that are left while crashes are being explained."""

    def __init__(self, histories: Iterable[CrashHistory]) -> None:
        self._explained: set[str] = set()
        self._by_key: dict[bytes, _Candidate] = {}
        self._by_lifetime: dict[str, list[CrashHistory]] = {}
        for history in histories:
            for lifetime in history.runs:
                self._by_lifetime.setdefault(lifetime, []).append(history)
            self._update(history)

    def first(self) -> _Candidate | None:
        """Return the candidate with the highest rank, or None if there is none."""
        return max(self._by_key.values(), key=lambda c: c.rank, default=None)

    def like(self, first: _Candidate) -> list[_Candidate]:
        """Return the other candidates that were in all crashes of this one."""
        lifetime = next(iter(first.lifetimes))
        found = [self._by_key.get(h.content.key) for h in self._by_lifetime[lifetime]]
        return [c for c in found if c is not None and first.is_like(c)]

    def explain(self, lifetimes: frozenset[str]) -> None:
        """Leave out crashes that are explained now."""
        self._explained |= lifetimes
        for lifetime in lifetimes:
            for history in self._by_lifetime[lifetime]:
                self._update(history)

    def _update(self, history: CrashHistory) -> None:
        runs = {k: run for k, run in history.runs.items() if k not in self._explained}
        times = _counted_crashes(history, runs.values())
        key = history.content.key
        if len(times) < history.needed_crashes:
            self._by_key.pop(key, None)
            return
        self._by_key[key] = _Candidate(
            history=history,
            lifetimes=frozenset(runs),
            crashes=len(times),
            rank=_rank(history, len(runs), times[history.needed_crashes - 1]),
        )


def blamed_contents(histories: Iterable[CrashHistory]) -> dict[bytes, CrashHistory]:
    """Return the contents to blame: few that explain the crashes together.

    The content in most crashes goes first, and what it explains blames no other.
    So requests that ran beside it are not blamed, also where they were in as
    many crashes for a while.  The result depends on the crashes alone, not on
    the order in which they became known.
    """
    candidates = _Candidates(histories)
    blamed: dict[bytes, CrashHistory] = {}
    while (first := candidates.first()) is not None:
        rivals = candidates.like(first)
        candidates.explain(first.lifetimes)
        if not first.history.content.is_part:
            chosen = [first, *(c for c in rivals if c.lifetimes == first.lifetimes)]
        elif rivals and first.crashes < TIED_PART_CRASHES:
            # Undecided; another request will tell these parts apart.
            continue
        else:
            chosen = [first]
        blamed.update((c.history.content.key, c.history) for c in chosen)
    return blamed


def _rank(history: CrashHistory, crashes: int, blamed_at: float) -> tuple:
    """Return the order in which contents are blamed, the highest first.

    Of contents in equally many crashes these go first: what has not run well
    before, what was in enough crashes earlier, whole requests, and the later part
    of a prompt, which is in fewer requests.
    """
    content = history.content
    return (
        crashes,
        not history.is_proven,
        -blamed_at,
        not content.is_part,
        content.depth,
        content.key,
    )


def _counted_crashes(history: CrashHistory, runs: Collection[BrokenRun]) -> list[float]:
    """Return the times of the crashes that count against a content."""
    separate = separate_crash_times(runs)
    if not history.content.is_part:
        return separate
    overlapping = crash_moments(runs)[OVERLAPPING_EXTRA:]
    return max(separate, overlapping, key=len)
