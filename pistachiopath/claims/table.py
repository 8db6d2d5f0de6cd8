"""The claim table: which request is bound to which target incarnation."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ..errors.outcomes import OutcomeKind
from ..messages.claims import ClaimReply, OutcomeRecord
from .claim import Claim, ClaimState
from .cursor import ClaimCursor
from .status import ClaimStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..messages.claims import Bind, FinishItem, Inquire, Refuse, Release
    from ..quarantine.suspects import Suspects

ONCE_RETENTION_MS = 6 * 3600 * 1000
RETENTION_MS = 10 * 60 * 1000
FUTURE_SKEW_MS = 5 * 60 * 1000
MAX_STORED_ANSWER_BYTES = 4096


class ClaimTable:
    """Deterministic table of claims, changed only by committed commands.

    Commands take the replicated clock in milliseconds, and those that entries
    send return a `ClaimReply`.  A claim is kept for `RETENTION_MS` after its
    last change, or for `ONCE_RETENTION_MS` if its work is not idempotent.  A
    request with a dated id older than that, or more than `FUTURE_SKEW_MS` ahead,
    is not bound, so that it is not run again after its claim was removed.
    """

    def __init__(self, *, suspects: Suspects) -> None:
        self._claims: dict[bytes, Claim] = {}
        self._expiry: list[tuple[int, bytes]] = []
        self._bound: dict[str, dict[bytes, Claim]] = {}
        self._suspects = suspects
        self._cursor: ClaimCursor | None = None

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self) -> Iterator[Claim]:
        return iter(self._claims.values())

    def get(self, key: bytes) -> Claim | None:
        """Return the claim of a key, or None."""
        return self._claims.get(key)

    def bound_to(self, target: str) -> list[Claim]:
        """Return the claims bound to a target that have no outcome yet."""
        return list(self._bound.get(target, {}).values())

    def follow(self, cursor: ClaimCursor | None) -> None:
        """Notify a cursor before each change from now on; None stops this."""
        self._cursor = cursor

    def cursor(self, encode: Callable[[Claim], bytes]) -> ClaimCursor:
        """Return a cursor over the present claims that is notified of changes."""
        cursor = ClaimCursor(claims=self._claims, encode=encode)
        self.follow(cursor)
        return cursor

    def restore(self, claim: Claim) -> None:
        """Restore a claim from a snapshot."""
        self._store(claim)

    def bind(self, cmd: Bind, now_ms: int) -> ClaimReply:
        """Bind a request to a target incarnation unless it already is."""
        self._before_change(cmd.key)
        claim = self._claims.get(cmd.key)
        if claim is not None and claim.fingerprint != cmd.fingerprint:
            return ClaimReply(status=ClaimStatus.CONFLICT)
        if claim is not None and claim.state is ClaimState.BOUND:
            return self._bound_reply(claim, cmd.attempt, now_ms)
        if claim is not None and claim.state is ClaimState.FINISHED:
            return self._reply(claim, ClaimStatus.FINISHED, now_ms)
        if cmd.dated_ms and self._is_id_out_of_range(cmd, now_ms):
            return ClaimReply(status=ClaimStatus.TOO_OLD)
        refused = claim is not None and claim.state is ClaimState.REFUSED
        if refused and cmd.after_refusal != claim.refusal_index:
            return self._refused_reply(claim, now_ms)
        return self._bind_new(claim, cmd, now_ms)

    def release(self, cmd: Release, now_ms: int) -> ClaimReply:
        """Release a binding that is proved never to have started."""
        self._before_change(cmd.key)
        claim = self._claims.get(cmd.key)
        if claim is None:
            return ClaimReply(status=ClaimStatus.TOO_OLD)
        if claim.state is ClaimState.BOUND and claim.binding == cmd.binding:
            self._unbind(claim)
            claim.state = ClaimState.RELEASED
            self._extend_retention(claim, now_ms)
        return self._current_reply(claim, now_ms)

    def inquire(self, cmd: Inquire, now_ms: int) -> ClaimReply:
        """Return the state of a claim."""
        claim = self._claims.get(cmd.key)
        if claim is None:
            return ClaimReply(status=ClaimStatus.TOO_OLD)
        return self._current_reply(claim, now_ms)

    def refuse(self, cmd: Refuse, index: int, now_ms: int) -> ClaimReply:
        """Record that the request was not run, unless it is bound or finished."""
        self._before_change(cmd.key)
        claim = self._claims.get(cmd.key)
        if claim is not None and claim.fingerprint != cmd.fingerprint:
            return ClaimReply(status=ClaimStatus.CONFLICT)
        if claim is None:
            claim = Claim(
                key=cmd.key,
                fingerprint=cmd.fingerprint,
                state=ClaimState.RELEASED,
                expires_ms=0,
            )
        if claim.state in (ClaimState.BOUND, ClaimState.FINISHED):
            return self._current_reply(claim, now_ms)
        claim.state = ClaimState.REFUSED
        claim.refusal_index = index
        claim.refused_ms = now_ms
        claim.outcome = OutcomeRecord(
            kind=cmd.kind, reason=cmd.reason, retry_after_ms=cmd.retry_after_ms
        )
        self._extend_retention(claim, now_ms)
        self._store(claim)
        return self._refused_reply(claim, now_ms)

    def finish(self, item: FinishItem, now_ms: int) -> None:
        """Record the outcome of the live binding; later outcomes are ignored."""
        self._before_change(item.key)
        claim = self._claims.get(item.key)
        if claim is None or claim.binding != item.binding:
            return
        if claim.state is not ClaimState.BOUND:
            return
        self._unbind(claim)
        claim.state = ClaimState.FINISHED
        claim.outcome = self._outcome_to_store(claim, item.outcome)
        self._extend_retention(claim, now_ms)
        if item.outcome.kind == OutcomeKind.COMPLETED:
            self._suspects.cleared(claim.fingerprint)

    def prune(self, now_ms: int) -> None:
        """Remove the claims whose retention has ended."""
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiry)
            claim = self._claims.get(key)
            if claim is None:
                continue
            if claim.expires_ms > now_ms:
                heapq.heappush(self._expiry, (claim.expires_ms, key))
                continue
            self._before_change(key)
            self._unbind(claim)
            del self._claims[key]

    def _before_change(self, key: bytes) -> None:
        if self._cursor is not None:
            self._cursor.before_change(key)

    def _bind_new(self, claim: Claim | None, cmd: Bind, now_ms: int) -> ClaimReply:
        if self._suspects.is_quarantined(cmd.fingerprint):
            return ClaimReply(status=ClaimStatus.QUARANTINED)
        if self._other_suspect_runs(cmd):
            return ClaimReply(status=ClaimStatus.SUSPECT_BUSY)
        if claim is None:
            claim = Claim(
                key=cmd.key,
                fingerprint=cmd.fingerprint,
                state=ClaimState.BOUND,
                expires_ms=0,
            )
        claim.state = ClaimState.BOUND
        claim.binding += 1
        claim.attempt = cmd.attempt
        claim.target = cmd.target
        claim.incarnation = cmd.incarnation
        claim.address = cmd.address
        claim.once = cmd.once
        claim.bound_ms = now_ms
        self._extend_retention(claim, max(now_ms, cmd.dated_ms))
        self._store(claim)
        return self._reply(claim, ClaimStatus.BOUND, now_ms)

    def _other_suspect_runs(self, cmd: Bind) -> bool:
        if not self._suspects.is_suspect(cmd.fingerprint):
            return False
        return any(
            self._suspects.is_suspect(other.fingerprint)
            for other in self._bound.get(cmd.target, {}).values()
        )

    def _bound_reply(self, claim: Claim, attempt: bytes, now_ms: int) -> ClaimReply:
        own = claim.attempt == attempt
        status = ClaimStatus.BOUND if own else ClaimStatus.HELD
        return self._reply(claim, status, now_ms)

    def _current_reply(self, claim: Claim, now_ms: int) -> ClaimReply:
        if claim.state is ClaimState.REFUSED:
            return self._refused_reply(claim, now_ms)
        statuses = {
            ClaimState.BOUND: ClaimStatus.HELD,
            ClaimState.RELEASED: ClaimStatus.RELEASED,
            ClaimState.FINISHED: ClaimStatus.FINISHED,
        }
        return self._reply(claim, statuses[claim.state], now_ms)

    @staticmethod
    def _reply(claim: Claim, status: ClaimStatus, now_ms: int) -> ClaimReply:
        return ClaimReply(
            status=status,
            binding=claim.binding,
            target=claim.target,
            incarnation=claim.incarnation,
            address=claim.address,
            bound_age_ms=max(0, now_ms - claim.bound_ms),
            outcome=claim.outcome,
        )

    @staticmethod
    def _refused_reply(claim: Claim, now_ms: int) -> ClaimReply:
        return ClaimReply(
            status=ClaimStatus.REFUSED,
            refusal_index=claim.refusal_index,
            refused_age_ms=max(0, now_ms - claim.refused_ms),
            outcome=claim.outcome,
        )

    @staticmethod
    def _outcome_to_store(claim: Claim, outcome: OutcomeRecord) -> OutcomeRecord:
        if claim.once and len(outcome.answer) <= MAX_STORED_ANSWER_BYTES:
            return outcome
        return OutcomeRecord(
            kind=outcome.kind,
            reason=outcome.reason,
            status=outcome.status,
            content_type=outcome.content_type,
            length=outcome.length,
        )

    @staticmethod
    def _is_id_out_of_range(cmd: Bind, now_ms: int) -> bool:
        oldest = now_ms - _retention_ms(once=cmd.once)
        return not oldest < cmd.dated_ms < now_ms + FUTURE_SKEW_MS

    def _extend_retention(self, claim: Claim, now_ms: int) -> None:
        claim.expires_ms = now_ms + _retention_ms(once=claim.once)

    def _store(self, claim: Claim) -> None:
        if claim.key not in self._claims:
            heapq.heappush(self._expiry, (claim.expires_ms, claim.key))
        self._claims[claim.key] = claim
        if claim.state is ClaimState.BOUND:
            self._bound.setdefault(claim.target, {})[claim.key] = claim

    def _unbind(self, claim: Claim) -> None:
        bound = self._bound.get(claim.target)
        if bound is None:
            return
        bound.pop(claim.key, None)
        if not bound:
            del self._bound[claim.target]


def _retention_ms(*, once: bool) -> int:
    return ONCE_RETENTION_MS if once else RETENTION_MS
