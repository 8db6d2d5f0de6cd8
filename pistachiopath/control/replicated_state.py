"""State that the control replicas replicate."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from ..claims.claim import Claim, ClaimState
from ..claims.status import ClaimStatus
from ..claims.table import ClaimTable
from ..errors.outcomes import OutcomeKind
from ..messages.claims import (
    Bind,
    ClaimReply,
    Done,
    Finish,
    FinishItem,
    Inquire,
    OutcomeRecord,
    Refuse,
    Release,
)
from ..messages.configuration import Accept, AcceptReply
from ..messages.fencing import FenceIssued, IssueFence
from ..messages.membership import CrashReport, Register, Registered, Retire
from ..messages.state import StateHeader, TargetRecord
from ..quarantine.suspects import Suspect, Suspects

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..messages.base import Message

COMMANDS = (Bind, Release, Refuse, Finish, Accept, IssueFence, Register, Retire)
COMMANDS += (CrashReport, Inquire)
RETIRED_RETENTION_MS = 24 * 3600 * 1000


class ReplicatedState:
    """Deterministic state machine: the same records give the same state.

    `apply` takes the index of a record, the leader's time in it and its command,
    and returns the reply.  `clock_ms` never decreases, even if a new leader's
    clock is behind.
    """

    def __init__(self) -> None:
        self.suspects = Suspects()
        self.claims = ClaimTable(suspects=self.suspects)
        self.targets: dict[str, TargetRecord] = {}
        self.revision = 0
        self.configuration = b''
        self.fence = 0
        self.clock_ms = 0

    def apply(self, index: int, time_ms: int, cmd: Message) -> Message:
        """Apply a committed command and return its reply."""
        self.clock_ms = max(self.clock_ms, time_ms)
        now_ms = self.clock_ms
        self.claims.prune(now_ms)
        self.suspects.prune(now_ms)
        match cmd:
            case Bind():
                return self._bind(cmd)
            case Release():
                return self.claims.release(cmd, now_ms)
            case Refuse():
                return self.claims.refuse(cmd, index, now_ms)
            case Inquire():
                return self._inquire(cmd)
            case Finish():
                return self._finish(cmd)
            case Accept():
                return self._accept(cmd)
            case IssueFence():
                self.fence = index
                return FenceIssued(fence=index)
            case Register():
                return self._register(cmd, index)
            case Retire():
                return self._retire(cmd)
            case CrashReport():
                return self._report_crash(cmd)
        return Done()

    def records(self) -> Iterator[Message]:
        """Yield the whole state as messages, for a snapshot."""
        yield from self.head_records()
        yield from self.claims

    def head_records(self) -> Iterator[Message]:
        """Yield all records except the claims."""
        yield StateHeader(
            clock_ms=self.clock_ms,
            fence=self.fence,
            revision=self.revision,
            configuration=self.configuration,
        )
        yield from self.targets.values()
        yield from self.suspects

    @classmethod
    def from_records(cls, records: Iterator[Message]) -> ReplicatedState:
        """Return the state that is restored from the records of a snapshot."""
        state = cls()
        for record in records:
            state._restore(record)
        return state

    def quarantined_claims(self, target: str) -> tuple[bytes, ...]:
        """Return the keys of the claims on a target that have quarantined content."""
        if not self.suspects.has_quarantined:
            return ()
        return tuple(
            claim.key
            for claim in self.claims.bound_to(target)
            if self.suspects.is_quarantined(claim.fingerprint)
        )

    def _restore(self, record: Message) -> None:
        match record:
            case StateHeader():
                self.clock_ms = record.clock_ms
                self.fence = record.fence
                self.revision = record.revision
                self.configuration = record.configuration
            case TargetRecord():
                self.targets[record.target] = record
            case Suspect():
                self.suspects.restore(record)
            case Claim():
                self.claims.restore(record)

    def _bind(self, cmd: Bind) -> ClaimReply:
        target = self.targets.get(cmd.target)
        is_gone = target is None or target.retired
        if is_gone or target.incarnation != cmd.incarnation:
            claim = self.claims.get(cmd.key)
            if claim is None or claim.state in (
                ClaimState.RELEASED,
                ClaimState.REFUSED,
            ):
                return ClaimReply(status=ClaimStatus.TARGET_RETIRED)
        return self.claims.bind(cmd, self.clock_ms)

    def _inquire(self, cmd: Inquire) -> ClaimReply:
        reply = self.claims.inquire(cmd, self.clock_ms)
        target = self.targets.get(reply.target)
        is_drained = target is not None and target.drained
        if is_drained and target.incarnation == reply.incarnation:
            return attrs.evolve(reply, target_left=True)
        return reply

    def _finish(self, cmd: Finish) -> Done:
        for item in cmd.items:
            self.claims.finish(item, self.clock_ms)
        return Done()

    def _accept(self, cmd: Accept) -> AcceptReply:
        in_force = cmd.content == self.configuration
        if not in_force and cmd.expected == self.revision:
            self.revision += 1
            self.configuration = cmd.content
            in_force = True
        digest = hashlib.sha256(self.configuration).digest()
        return AcceptReply(accepted=in_force, revision=self.revision, digest=digest)

    def _register(self, cmd: Register, index: int) -> Registered:
        record = self.targets.get(cmd.target)
        if record is not None and record.nonce == cmd.nonce:
            return Registered(incarnation=record.incarnation, fence=self.fence)
        if record is not None and not record.retired:
            self._end_incarnation(cmd.target, crashed=True)
        self._prune_retired()
        self.targets[cmd.target] = TargetRecord(
            target=cmd.target,
            incarnation=index,
            nonce=cmd.nonce,
            retired=False,
            updated_ms=self.clock_ms,
        )
        return Registered(incarnation=index, fence=self.fence)

    def _prune_retired(self) -> None:
        """Remove targets retired longer than `RETIRED_RETENTION_MS` ago.

        A removed target's name may be registered again.
        """
        oldest_ms = self.clock_ms - RETIRED_RETENTION_MS
        for name, record in list(self.targets.items()):
            if record.retired and record.updated_ms < oldest_ms:
                del self.targets[name]

    def _retire(self, cmd: Retire) -> Done:
        record = self.targets.get(cmd.target)
        is_current = record is not None and record.incarnation == cmd.incarnation
        if is_current and not record.retired:
            if cmd.drained:
                self._release_bound(cmd.target)
            else:
                self._end_incarnation(cmd.target, crashed=cmd.crashed)
            self.targets[cmd.target] = attrs.evolve(
                record,
                retired=True,
                updated_ms=self.clock_ms,
                drained=cmd.drained,
            )
        return Done()

    def _release_bound(self, target: str) -> None:
        """Release the claims bound to a drained target, which it never started."""
        for claim in self.claims.bound_to(target):
            release = Release(key=claim.key, binding=claim.binding)
            self.claims.release(release, self.clock_ms)

    def _end_incarnation(self, target: str, *, crashed: bool) -> None:
        """Finish the claims of an ended incarnation with an unknown outcome.

        If it crashed, the contents of the claims become suspects.
        """
        bound = self.claims.bound_to(target)
        if crashed:
            fingerprints = [claim.fingerprint for claim in bound]
            self.suspects.crashed(fingerprints, self.clock_ms)
        outcome = OutcomeRecord(kind=OutcomeKind.UNKNOWN, reason='target_lost')
        for claim in bound:
            item = FinishItem(key=claim.key, binding=claim.binding, outcome=outcome)
            self.claims.finish(item, self.clock_ms)

    def _report_crash(self, cmd: CrashReport) -> Done:
        record = self.targets.get(cmd.target)
        if record is None or cmd.number <= record.crashes:
            return Done()
        self.targets[cmd.target] = attrs.evolve(
            record, crashes=cmd.number, updated_ms=self.clock_ms
        )
        claims = [self.claims.get(key) for key in cmd.keys]
        fingerprints = [claim.fingerprint for claim in claims if claim is not None]
        self.suspects.crashed(fingerprints, self.clock_ms)
        return Done()
