"""Detection of replica crashes and of the request content that may cause them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.quarantine import ContentProof, CrashMark, CrashMarks
from .blame import WHOLE_REQUEST_CRASHES, CrashHistory, blamed_contents
from .broken_run import BrokenRun
from .content import Content
from .proven_contents import ProvenContents
from .trials import Trials
from .unexplained_runs import UnexplainedRuns

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longer than callers take to retry (seconds) and shorter than the deployment of a
# fixed replica takes (hours).
RETENTION_S = 600.0
# Bound the memory of an entry and the size of its messages when many replicas
# crash.
MAX_CONTENTS = 2_000
MAX_MESSAGE_MARKS = 64


@attrs.define(kw_only=True)
class _Marks:
    """The crashes in which a content was, by the lifetime of the replica.

    A part counts at its latest position among the prompts that have it.
    """

    content: Content
    runs: dict[str, BrokenRun] = attrs.field(factory=dict)

    @property
    def last_broken_at(self) -> float:
        """Time of the last crash."""
        return max(run.broken_at for run in self.runs.values())


class CrashWatch:
    """Finds the contents that crash replicas, from the crashes of all entries.

    A broken run alone is no evidence, because connections break for many
    reasons.  It counts once its replica is known to have ended as well.  Each
    crash marks what the replica was running: whole requests and the parts of
    their prompts.  `blamed_contents` decides which of them are in quarantine.
    Content that runs well is cleared.

    Marks are merged by union, so they may arrive repeatedly and in any order.
    `now` is a monotonic clock in seconds.

    >>> watch = CrashWatch()
    >>> for lifetime, at in (('r1', 5.0), ('r2', 6.0)):
    ...     watch.broke_off(lifetime, b'content', at - 0.1, at)
    ...     _ = watch.ended(lifetime, at)
    >>> watch.left_s(b'content', 66.0)
    540.0
    """

    def __init__(self, *, node: str = '') -> None:
        self._unexplained = UnexplainedRuns()
        self._marks: dict[bytes, _Marks] = {}
        self._cleared_at: dict[bytes, float] = {}
        self._proven = ProvenContents()
        self._proven_requests = ProvenContents()
        self._unsent_proofs: set[bytes] = set()
        self._trials = Trials(node=node)
        self._blamed: dict[bytes, CrashHistory] | None = None

    @property
    def has_marks(self) -> bool:
        """Whether any content has a crash mark."""
        return bool(self._marks)

    @property
    def blamed(self) -> dict[bytes, CrashHistory]:
        """The contents in quarantine, by key."""
        if self._blamed is None:
            self._blamed = blamed_contents(self._histories())
        return self._blamed

    def broke_off(
        self,
        lifetime: str,
        fingerprint: bytes,
        began_at: float,
        now: float,
        *,
        parts: tuple[Content, ...] = (),
    ) -> None:
        """Record that a replica broke off a run of this request.

        `parts` are the parts of its prompt that may have caused that.
        """
        contents = (Content(key=fingerprint), *parts)
        run = BrokenRun(started_at=began_at, broken_at=now)
        self._unexplained.add(lifetime, contents, run)

    def pending(self) -> tuple[str, ...]:
        """Return the replica lifetimes that broke off runs and may have crashed."""
        return self._unexplained.lifetimes()

    def ended(self, lifetime: str, now: float) -> tuple[CrashMark, ...]:
        """Record that a replica has ended; return the marks to send to others."""
        running = self._unexplained.take(lifetime, now)
        marks = []
        for content, run in sorted(running.items(), key=lambda item: item[0].key):
            self._add_mark(content, lifetime, run)
            marks.append(_crash_mark(content, lifetime, run, now))
        return tuple(marks)

    def delivered(self, fingerprint: bytes, now: float) -> bool:
        """Clear a request that ran well; return whether it had marks."""
        self._proven_requests.add([fingerprint], now)
        return self._clear(fingerprint, now)

    def proven(self, parts: Iterable[Content], now: float) -> tuple[bytes, ...]:
        """Record that these parts crash no replica; return those that had marks."""
        keys = [part.key for part in parts]
        self._proven.add(keys, now)
        if not self._marks:
            return ()
        return tuple(key for key in keys if self._clear(key, now))

    def take_proofs(self, now: float) -> tuple[ContentProof, ...]:
        """Return proofs of marked contents that no other node has sent yet."""
        proofs = tuple(
            ContentProof(key=key, age_ms=int((now - self._cleared_at[key]) * 1000))
            for key in sorted(self._unsent_proofs)
            if key in self._cleared_at
        )
        self._unsent_proofs.clear()
        return proofs

    def heard(self, body: CrashMarks, now: float) -> bool:
        """Merge what another node sent; return whether any of it is new."""
        is_new = False
        for key in body.cleared:
            is_new |= key not in self._cleared_at
            is_new |= self._clear(key, now)
            self._cleared_at[key] = now
        for proof in body.proofs:
            is_new |= self._hear_proof(proof, now)
        for mark in body.marks:
            at = now - mark.age_ms / 1000
            content = Content(key=mark.fingerprint, depth=mark.depth)
            run = BrokenRun(started_at=at - mark.ran_ms / 1000, broken_at=at)
            if now - at < RETENTION_S:
                is_new |= self._add_mark(content, mark.lifetime, run)
        for trial in body.trials:
            is_new |= self._trials.heard(trial, now)
        return is_new

    def left_s(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining quarantine of content in seconds, 0 if there is none.

        It is also 0 for content that this node may try; see `begin_trial`.
        """
        history = self.blamed.get(fingerprint)
        if history is None:
            return 0.0
        last_at = max(run.broken_at for run in history.runs.values())
        if history.has_trials:
            return max(0.0, self._trials.due_at(fingerprint, last_at) - now)
        return max(0.0, last_at + RETENTION_S - now)

    def begin_trial(self, key: bytes, now: float) -> CrashMarks:
        """Begin a trial of content in quarantine; return the message for others."""
        return CrashMarks(trials=(self._trials.begin(key, now),))

    def marks(self, now: float) -> CrashMarks:
        """Return what nodes may have missed: quarantined first, then the newest."""
        marks = [
            _crash_mark(m.content, lifetime, run, now)
            for m in self._marks.values()
            for lifetime, run in m.runs.items()
        ]
        blamed = self.blamed
        marks.sort(key=lambda m: (m.fingerprint not in blamed, m.age_ms))
        return CrashMarks(
            marks=tuple(marks[:MAX_MESSAGE_MARKS]), trials=self._trials.messages(now)
        )

    def prune(self, now: float) -> None:
        """Remove expired records, and the earliest contents above `MAX_CONTENTS`."""
        self._unexplained.prune(now)
        blamed = self.blamed
        for key, marks in list(self._marks.items()):
            is_excess = len(self._marks) > MAX_CONTENTS and key not in blamed
            if is_excess or now - marks.last_broken_at >= RETENTION_S:
                del self._marks[key]
                self._blamed = None
        for key, at in list(self._cleared_at.items()):
            if now - at >= RETENTION_S:
                del self._cleared_at[key]
        self._trials.keep_only(set(self._marks))

    def _histories(self) -> list[CrashHistory]:
        return [
            CrashHistory(
                content=m.content, runs=dict(m.runs), is_proven=key in self._cleared_at
            )
            for key, m in self._marks.items()
            if len(m.runs) >= WHOLE_REQUEST_CRASHES
        ]

    def _add_mark(self, content: Content, lifetime: str, run: BrokenRun) -> bool:
        """Store a mark; return whether it is new."""
        self._use_own_proof(content.key)
        cleared_at = self._cleared_at.get(content.key)
        if cleared_at is not None and run.broken_at <= cleared_at:
            # The sender had not yet received the clearing of this content.
            return False
        marks = self._marks.setdefault(content.key, _Marks(content=content))
        if content.depth > marks.content.depth:
            marks.content = content
            self._blamed = None
        existing = marks.runs.get(lifetime)
        # A delayed message makes its crash look more recent than it was, so the
        # earliest time is kept.
        if existing is None or run.broken_at < existing.broken_at:
            marks.runs[lifetime] = run
            self._blamed = None
        return existing is None

    def _use_own_proof(self, key: bytes) -> None:
        """Use what this node knows of a content that gets its first mark."""
        proven_at = self._proven.at(key) or self._proven_requests.at(key)
        if proven_at is not None and key not in self._cleared_at:
            self._cleared_at[key] = proven_at
            self._unsent_proofs.add(key)

    def _hear_proof(self, proof: ContentProof, now: float) -> bool:
        """Merge a proof; return whether no proof of this content was known."""
        self._unsent_proofs.discard(proof.key)
        if proof.key in self._cleared_at:
            return False
        at = now - proof.age_ms / 1000
        self._cleared_at[proof.key] = at
        marks = self._marks.get(proof.key)
        if marks is not None:
            marks.runs = {k: r for k, r in marks.runs.items() if r.broken_at > at}
            if not marks.runs:
                del self._marks[proof.key]
        self._blamed = None
        return True

    def _clear(self, key: bytes, now: float) -> bool:
        """Remove the marks of a content that ran well; return whether it had any.

        Crashes that it explained are removed, so that they blame no other.
        """
        history = self.blamed.get(key) if key in self._marks else None
        marks = self._marks.pop(key, None)
        if marks is None:
            return False
        self._cleared_at[key] = now
        self._blamed = None
        for lifetime in history.runs if history else ():
            self._remove_crash(lifetime)
        return True

    def _remove_crash(self, lifetime: str) -> None:
        for key, marks in list(self._marks.items()):
            marks.runs.pop(lifetime, None)
            if not marks.runs:
                del self._marks[key]


def _crash_mark(
    content: Content, lifetime: str, run: BrokenRun, now: float
) -> CrashMark:
    return CrashMark(
        fingerprint=content.key,
        lifetime=lifetime,
        age_ms=int((now - run.broken_at) * 1000),
        ran_ms=int((run.broken_at - run.started_at) * 1000),
        depth=content.depth,
    )
