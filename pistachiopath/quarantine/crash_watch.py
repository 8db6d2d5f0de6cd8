"""Detection of replica crashes and of the request content that may cause them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.quarantine import CrashMark, CrashMarks
from .suspects import QUARANTINE_CRASHES

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longer than callers take to retry (seconds) and shorter than the deployment of a
# fixed replica takes (hours).
RETENTION_S = 600.0
# A crash breaks all runs of a replica within this time.
SAME_CRASH_S = 0.3
# Evidence of a crash arrives within this time, with the next connection or
# announcement.
EVIDENCE_S = 6.0
# Bound the memory of an entry and the size of its messages when many replicas
# crash.
MAX_CONTENTS = 2_000
MAX_MESSAGE_MARKS = 64


@attrs.define(kw_only=True, frozen=True)
class _BrokenRun:
    """A run whose replica ended the connection before its response was complete."""

    fingerprint: bytes
    started_at: float
    broken_at: float


class CrashWatch:
    """Counts the crashes of each request content over all entries.

    A broken run alone is no evidence, because connections break for many
    reasons.  It counts once its replica is known to have ended as well.  If
    content of an earlier crash is among the broken runs, only that content is
    blamed.  Content is quarantined after two crashes, the second of them in a
    run that began after the first: otherwise content that runs on many
    replicas would be quarantined when several of them crash at once.  Content
    that runs to completion is cleared.

    Marks are merged by union, so they may arrive repeatedly and in any order.
    `now` is a monotonic clock in seconds.

    >>> watch = CrashWatch()
    >>> for lifetime, at in (('r1', 5.0), ('r2', 6.0)):
    ...     watch.broke_off(lifetime, b'content', at - 0.1, at)
    ...     _ = watch.ended(lifetime, at)
    >>> watch.left_s(b'content', 66.0)
    540.0
    """

    def __init__(self) -> None:
        self._broken_runs: dict[str, list[_BrokenRun]] = {}
        self._marks: dict[bytes, dict[str, _BrokenRun]] = {}
        self._cleared_at: dict[bytes, float] = {}

    @property
    def has_marks(self) -> bool:
        """Whether any content has a crash mark."""
        return bool(self._marks)

    def broke_off(
        self, lifetime: str, fingerprint: bytes, began_at: float, now: float
    ) -> None:
        """Record that a replica broke off a run of this content."""
        run = _BrokenRun(fingerprint=fingerprint, started_at=began_at, broken_at=now)
        self._broken_runs.setdefault(lifetime, []).append(run)

    def pending(self) -> tuple[str, ...]:
        """Return the replica lifetimes that broke off runs and may have crashed."""
        return tuple(self._broken_runs)

    def ended(self, lifetime: str, now: float) -> tuple[CrashMark, ...]:
        """Record that a replica has ended; return the marks to send to others."""
        runs = self._broken_runs.pop(lifetime, [])
        if not runs or now - runs[-1].broken_at >= EVIDENCE_S:
            return ()
        last_at = runs[-1].broken_at
        running = {
            r.fingerprint: r for r in runs if last_at - r.broken_at < SAME_CRASH_S
        }
        suspects = [fp for fp in running if fp in self._marks]
        blamed = sorted(suspects or running)
        for fingerprint in blamed:
            self._add_mark(lifetime, running[fingerprint])
        return tuple(_crash_mark(lifetime, running[fp], now) for fp in blamed)

    def delivered(self, fingerprint: bytes, now: float) -> bool:
        """Clear content that ran to completion; return whether it had marks."""
        if self._marks.pop(fingerprint, None) is None:
            return False
        self._cleared_at[fingerprint] = now
        return True

    def heard(self, body: CrashMarks, now: float) -> bool:
        """Merge another node's marks and clearings; return whether any is new."""
        is_new = any(fp not in self._cleared_at for fp in body.cleared)
        for fingerprint in body.cleared:
            self._marks.pop(fingerprint, None)
            self._cleared_at[fingerprint] = now
        for mark in body.marks:
            at = now - mark.age_ms / 1000
            run = _BrokenRun(
                fingerprint=mark.fingerprint,
                started_at=at - mark.ran_ms / 1000,
                broken_at=at,
            )
            if now - at < RETENTION_S:
                is_new |= self._add_mark(mark.lifetime, run)
        return is_new

    def left_s(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining quarantine of content in seconds, 0 if there is none."""
        crashes = _separate_crash_times(self._marks.get(fingerprint, {}).values())
        if len(crashes) < QUARANTINE_CRASHES:
            return 0.0
        return max(0.0, crashes[-1] + RETENTION_S - now)

    def marks(self, now: float) -> CrashMarks:
        """Return the newest marks, for nodes that may have missed them."""
        marks = [
            _crash_mark(lifetime, run, now)
            for runs in self._marks.values()
            for lifetime, run in runs.items()
        ]
        return CrashMarks(marks=tuple(sorted(marks, key=_age_ms)[:MAX_MESSAGE_MARKS]))

    def prune(self, now: float) -> None:
        """Remove expired records, and the earliest contents above `MAX_CONTENTS`."""
        for lifetime, runs in list(self._broken_runs.items()):
            if now - runs[-1].broken_at >= EVIDENCE_S:
                del self._broken_runs[lifetime]
        for fingerprint, runs in list(self._marks.items()):
            excess = len(self._marks) > MAX_CONTENTS
            if excess or now - max(r.broken_at for r in runs.values()) >= RETENTION_S:
                del self._marks[fingerprint]
        for fingerprint, at in list(self._cleared_at.items()):
            if now - at >= RETENTION_S:
                del self._cleared_at[fingerprint]

    def _add_mark(self, lifetime: str, run: _BrokenRun) -> bool:
        """Store a mark; return whether it is new."""
        cleared_at = self._cleared_at.get(run.fingerprint)
        if cleared_at is not None and run.broken_at <= cleared_at:
            # The sender had not yet received the clearing of this content.
            return False
        marks = self._marks.setdefault(run.fingerprint, {})
        existing = marks.get(lifetime)
        # A delayed message makes its crash look more recent than it was, so the
        # earliest time is kept.
        if existing is None or run.broken_at < existing.broken_at:
            marks[lifetime] = run
        return existing is None


def _separate_crash_times(runs: Iterable[_BrokenRun]) -> list[float]:
    """Return crash times, each of a run that began after the previous crash."""
    times: list[float] = []
    for run in sorted(runs, key=lambda r: r.broken_at):
        if not times or run.started_at >= times[-1]:
            times.append(run.broken_at)
    return times


def _crash_mark(lifetime: str, run: _BrokenRun, now: float) -> CrashMark:
    return CrashMark(
        fingerprint=run.fingerprint,
        lifetime=lifetime,
        age_ms=int((now - run.broken_at) * 1000),
        ran_ms=int((run.broken_at - run.started_at) * 1000),
    )


def _age_ms(mark: CrashMark) -> int:
    return mark.age_ms
