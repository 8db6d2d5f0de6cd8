"""The state that the control replicas agree on."""

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
    """Deterministic state: applying the same records gives the same state.

    `apply` takes the index and leader time of a record and its command, and
    returns the reply.  The clock never goes back, whatever leaders' clocks do.
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
                return self._crash(cmd)
        return Done()

    def records(self) -> Iterator[Message]:
        """Yield the whole state as messages, for a snapshot."""
        yield from self.head_records()
        yield from self.claims

    def head_records(self) -> Iterator[Message]:
        """Yield all but the claims."""
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
        """Return the state that `records` came from."""
        state = cls()
        for record in records:
            state._restore(record)
        return state

    def quarantined_claims(self, target: str) -> tuple[bytes, ...]:
        """Return the claims of a target whose content is quarantined."""
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
        stale = target is None or target.retired
        if stale or target.incarnation != cmd.incarnation:
            held = self.claims.get(cmd.key)
            if held is None or held.state in (ClaimState.RELEASED, ClaimState.REFUSED):
                return ClaimReply(status=ClaimStatus.TARGET_RETIRED)
        return self.claims.bind(cmd, self.clock_ms)

    def _inquire(self, cmd: Inquire) -> ClaimReply:
        reply = self.claims.inquire(cmd, self.clock_ms)
        target = self.targets.get(reply.target)
        left = target is not None and target.drained
        if left and target.incarnation == reply.incarnation:
            return attrs.evolve(reply, target_left=True)
        return reply

    def _finish(self, cmd: Finish) -> Done:
        for item in cmd.items:
            self.claims.finish(item, self.clock_ms)
        return Done()

    def _accept(self, cmd: Accept) -> AcceptReply:
        same = cmd.content == self.configuration
        if not same and cmd.expected == self.revision:
            self.revision += 1
            self.configuration = cmd.content
            same = True
        digest = hashlib.sha256(self.configuration).digest()
        return AcceptReply(accepted=same, revision=self.revision, digest=digest)

    def _register(self, cmd: Register, index: int) -> Registered:
        known = self.targets.get(cmd.target)
        if known is not None and known.nonce == cmd.nonce:
            return Registered(incarnation=known.incarnation, fence=self.fence)
        if known is not None and not known.retired:
            self._end_incarnation(cmd.target, crashed=True)
        self._forget_retired()
        self.targets[cmd.target] = TargetRecord(
            target=cmd.target,
            incarnation=index,
            nonce=cmd.nonce,
            retired=False,
            updated_ms=self.clock_ms,
        )
        return Registered(incarnation=index, fence=self.fence)

    def _forget_retired(self) -> None:
        """Drop targets that left long ago; their names may come again."""
        oldest = self.clock_ms - RETIRED_RETENTION_MS
        for name, record in list(self.targets.items()):
            if record.retired and record.updated_ms < oldest:
                del self.targets[name]

    def _retire(self, cmd: Retire) -> Done:
        known = self.targets.get(cmd.target)
        current = known is not None and known.incarnation == cmd.incarnation
        if current and not known.retired:
            if cmd.drained:
                self._release_bound(cmd.target)
            else:
                self._end_incarnation(cmd.target, crashed=cmd.crashed)
            self.targets[cmd.target] = attrs.evolve(
                known,
                retired=True,
                updated_ms=self.clock_ms,
                drained=cmd.drained,
            )
        return Done()

    def _release_bound(self, target: str) -> None:
        """Take back what was bound to a drained target and never started."""
        for claim in self.claims.bound_to(target):
            release = Release(key=claim.key, binding=claim.binding)
            self.claims.release(release, self.clock_ms)

    def _end_incarnation(self, target: str, *, crashed: bool) -> None:
        """Conclude what was bound to an incarnation that is over."""
        running = self.claims.bound_to(target)
        if crashed:
            fingerprints = [claim.fingerprint for claim in running]
            self.suspects.crashed(fingerprints, self.clock_ms)
        lost = OutcomeRecord(kind=OutcomeKind.UNKNOWN, reason='target_lost')
        for claim in running:
            item = FinishItem(key=claim.key, binding=claim.binding, outcome=lost)
            self.claims.finish(item, self.clock_ms)

    def _crash(self, cmd: CrashReport) -> Done:
        known = self.targets.get(cmd.target)
        if known is None or cmd.number <= known.crashes:
            return Done()
        self.targets[cmd.target] = attrs.evolve(
            known, crashes=cmd.number, updated_ms=self.clock_ms
        )
        claims = [self.claims.get(key) for key in cmd.keys]
        fingerprints = [claim.fingerprint for claim in claims if claim is not None]
        self.suspects.crashed(fingerprints, self.clock_ms)
        return Done()
