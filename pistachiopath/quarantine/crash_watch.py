"""Tells crashes of replicas from other failures, and what may cause them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.quarantine import CrashMark, CrashMarks
from .suspects import QUARANTINE_CRASHES

if TYPE_CHECKING:
    from collections.abc import Iterable

# Callers repeat within seconds; a program that is mended comes within hours.
RETENTION_S = 600.0
# A crash breaks off all runs of a replica together.
TOGETHER_S = 0.3
# Evidence of a crash comes with the next connection or announcement.
EVIDENCE_S = 6.0
# Bounds what a storm of crashes may hold, and tell, at an entry.
MAX_CONTENTS = 2_000
MAX_TOLD = 64


@attrs.define(kw_only=True, frozen=True)
class _BrokenRun:
    """A run that a replica broke off."""

    fingerprint: bytes
    began_at: float
    at: float


class CrashWatch:
    """Counts the crashes that content was in, over all entries together.

    A run that is broken off says little: connections break for many reasons.
    It counts once its replica is known to have ended as well.  Where content
    of an earlier crash was among the runs, it is blamed alone.  Content is
    quarantined after two crashes, the second in a run that began after the
    first: what runs in many places is in every crash of several replicas at
    once.  Content that runs to its end is cleared.

    Marks are merged by union, so they may come twice and in any order.  `now`
    is a monotonic clock in seconds.

    >>> watch = CrashWatch()
    >>> for lifetime, at in (('r1', 5.0), ('r2', 6.0)):
    ...     watch.broke_off(lifetime, b'content', at - 0.1, at)
    ...     _ = watch.ended(lifetime, at)
    >>> watch.left_s(b'content', 66.0)
    540.0
    """

    def __init__(self) -> None:
        self._broken: dict[str, list[_BrokenRun]] = {}
        self._seen: dict[bytes, dict[str, _BrokenRun]] = {}
        self._cleared: dict[bytes, float] = {}

    @property
    def has_marks(self) -> bool:
        """Tell whether any content was in a crash."""
        return bool(self._seen)

    def broke_off(
        self, lifetime: str, fingerprint: bytes, began_at: float, now: float
    ) -> None:
        """Take in that a replica broke off a run of this content."""
        run = _BrokenRun(fingerprint=fingerprint, began_at=began_at, at=now)
        self._broken.setdefault(lifetime, []).append(run)

    def pending(self) -> tuple[str, ...]:
        """Return the replicas that broke off runs and may have crashed."""
        return tuple(self._broken)

    def ended(self, lifetime: str, now: float) -> tuple[CrashMark, ...]:
        """Take in that a replica has ended; return new marks to be told."""
        runs = self._broken.pop(lifetime, [])
        if not runs or now - runs[-1].at >= EVIDENCE_S:
            return ()
        last_at = runs[-1].at
        running = {r.fingerprint: r for r in runs if last_at - r.at < TOGETHER_S}
        known = [fp for fp in running if fp in self._seen]
        blamed = sorted(known or running)
        for fingerprint in blamed:
            self._mark(lifetime, running[fingerprint])
        return tuple(_told(lifetime, running[fp], now) for fp in blamed)

    def delivered(self, fingerprint: bytes, now: float) -> bool:
        """Take in that content ran to its end; tell whether it had marks."""
        if self._seen.pop(fingerprint, None) is None:
            return False
        self._cleared[fingerprint] = now
        return True

    def heard(self, body: CrashMarks, now: float) -> bool:
        """Take in what another node knows; tell whether anything is new."""
        is_new = any(fp not in self._cleared for fp in body.cleared)
        for fingerprint in body.cleared:
            self._seen.pop(fingerprint, None)
            self._cleared[fingerprint] = now
        for mark in body.marks:
            at = now - mark.age_ms / 1000
            run = _BrokenRun(
                fingerprint=mark.fingerprint, began_at=at - mark.ran_ms / 1000, at=at
            )
            if now - at < RETENTION_S:
                is_new |= self._mark(mark.lifetime, run)
        return is_new

    def left_s(self, fingerprint: bytes, now: float) -> float:
        """Return for how long content stays quarantined, 0 if it is not."""
        crashes = _in_a_row(self._seen.get(fingerprint, {}).values())
        if len(crashes) < QUARANTINE_CRASHES:
            return 0.0
        return max(0.0, crashes[-1] + RETENTION_S - now)

    def marks(self, now: float) -> CrashMarks:
        """Return the newest marks, for entries that may have missed them."""
        told = [
            _told(lifetime, run, now)
            for runs in self._seen.values()
            for lifetime, run in runs.items()
        ]
        return CrashMarks(marks=tuple(sorted(told, key=_age)[:MAX_TOLD]))

    def prune(self, now: float) -> None:
        """Forget what is old, or too much."""
        for lifetime, runs in list(self._broken.items()):
            if now - runs[-1].at >= EVIDENCE_S:
                del self._broken[lifetime]
        for fingerprint, runs in list(self._seen.items()):
            excess = len(self._seen) > MAX_CONTENTS
            if excess or now - max(r.at for r in runs.values()) >= RETENTION_S:
                del self._seen[fingerprint]
        for fingerprint, at in list(self._cleared.items()):
            if now - at >= RETENTION_S:
                del self._cleared[fingerprint]

    def _mark(self, lifetime: str, run: _BrokenRun) -> bool:
        """Keep a mark; tell whether it was not known."""
        cleared_at = self._cleared.get(run.fingerprint)
        if cleared_at is not None and run.at <= cleared_at:
            # Of an entry that has not heard yet that the content is cleared.
            return False
        marks = self._seen.setdefault(run.fingerprint, {})
        known = marks.get(lifetime)
        # A message that was on its way for long makes a crash look later.
        if known is None or run.at < known.at:
            marks[lifetime] = run
        return known is None


def _in_a_row(runs: Iterable[_BrokenRun]) -> list[float]:
    """Return the times of crashes, each in a run begun after the one before."""
    times: list[float] = []
    for run in sorted(runs, key=lambda r: r.at):
        if not times or run.began_at >= times[-1]:
            times.append(run.at)
    return times


def _told(lifetime: str, run: _BrokenRun, now: float) -> CrashMark:
    return CrashMark(
        fingerprint=run.fingerprint,
        lifetime=lifetime,
        age_ms=int((now - run.at) * 1000),
        ran_ms=int((run.at - run.began_at) * 1000),
    )


def _age(mark: CrashMark) -> int:
    return mark.age_ms
