"""Mutations that each disable one mechanism; the checks must then fail."""

from __future__ import annotations

import attrs

from pistachiopath.claims.claim import ClaimState
from pistachiopath.claims.flow import RequestFlow
from pistachiopath.claims.outcome_records import from_record
from pistachiopath.claims.table import ClaimTable
from pistachiopath.control.core import ControlCore
from pistachiopath.control.replicated_state import ReplicatedState
from pistachiopath.entry.core import EntryCore
from pistachiopath.fencing.order_gate import OrderGate
from pistachiopath.gate.gate import Gate
from pistachiopath.messages.claims import OutcomeRecord
from pistachiopath.messages.dispatch import Accepted
from pistachiopath.replication.replica import Replica
from tests.harness.disk import Disk


class Everything:
    """A set-like object that contains every item."""

    def __contains__(self, item):
        return True

    def add(self, item):
        pass


def no_tombstone(patch):
    """A run that is given back leaves no tombstone at its agent."""
    give_back = Gate._give_back

    def without_tombstone(self, run, reason, now):
        effects = give_back(self, run, reason, now)
        self._runs.pop(run.key, None)
        return effects

    patch.setattr(Gate, '_give_back', without_tombstone)


def no_drained_release(patch):
    """Requests bound to a drained target end with an unknown outcome."""
    retire = ReplicatedState._retire

    def as_not_drained(self, cmd):
        return retire(self, attrs.evolve(cmd, drained=False))

    patch.setattr(ReplicatedState, '_retire', as_not_drained)


def no_sign_of_life(patch):
    """An agent does not confirm an attach to a run that has no output yet."""
    attach = Gate.attach

    def without_accepted(self, sender, msg, now):
        effects = attach(self, sender, msg, now)
        return [e for e in effects if not isinstance(e.body, Accepted)]

    patch.setattr(Gate, 'attach', without_accepted)


def no_sync(patch):
    """The disk loses all writes; a sync has no effect."""
    patch.setattr(Disk, 'sync', lambda self: None)
    patch.setattr(Disk, 'crash', lambda self: self._pending.clear())


def no_incarnation_check(patch):
    """An agent accepts dispatches bound to another incarnation."""
    init = Gate.__init__

    def with_all_incarnations(self, **kwargs):
        init(self, **kwargs)
        self._incarnations = Everything()

    patch.setattr(Gate, '__init__', with_all_incarnations)
    patch.setattr(Gate, '_refusal', lambda self, msg: '')


def no_fencing_check(patch):
    """An agent passes on every order for its incarnation, whatever its fence."""
    receive = OrderGate.receive

    def without_fence_check(self, order):
        self._highest_fence = 0
        return receive(self, order)

    patch.setattr(OrderGate, 'receive', without_fence_check)


def no_lease_check(patch):
    """An agent starts queued runs after its lease has expired."""
    start_due = Gate._start_due

    def with_endless_lease(self, now):
        self.lease_until = float('inf')
        return start_due(self, now)

    patch.setattr(Gate, '_start_due', with_endless_lease)


def no_gate_dedup(patch):
    """An agent runs every dispatch that arrives, also duplicates."""
    dispatch = Gate.dispatch

    def without_dedup(self, sender, msg, now):
        self._runs.pop(msg.key, None)
        return dispatch(self, sender, msg, now)

    patch.setattr(Gate, 'dispatch', without_dedup)


def no_claim(patch):
    """Every bind is granted."""
    bind = ClaimTable.bind

    def with_released_claim(self, cmd, now_ms):
        claim = self._claims.get(cmd.key)
        if claim is not None:
            claim.state = ClaimState.RELEASED
        return bind(self, cmd, now_ms)

    patch.setattr(ClaimTable, 'bind', with_released_claim)


def no_refusal_commit(patch):
    """A caller gets a refusal before the refusal is committed."""

    def without_commit(self, kind, reason, retry_after_ms, now):
        record = OutcomeRecord(kind=kind, reason=reason, retry_after_ms=retry_after_ms)
        return self._conclude(from_record(record))

    patch.setattr(RequestFlow, 'refuse', without_commit)


def no_refusal_order(patch):
    """A bind that was sent before a refusal is granted after it."""
    bind = ClaimTable.bind

    def with_released_refusal(self, cmd, now_ms):
        claim = self._claims.get(cmd.key)
        if claim is not None and claim.state is ClaimState.REFUSED:
            claim.state = ClaimState.RELEASED
        return bind(self, cmd, now_ms)

    patch.setattr(ClaimTable, 'bind', with_released_refusal)


def preempt_anything(patch):
    """Runs that can't be resumed are paused too."""

    def any_unpromised(self, run):
        if not run.work.promised:
            return None
        others = [r for r in self._running.values() if not r.work.promised]
        return max(others, key=lambda r: r.priority, default=None)

    patch.setattr(Gate, '_preemptible', any_unpromised)


def no_suspect_isolation(patch):
    """Several suspects run on the same target at once."""
    patch.setattr(ClaimTable, '_other_suspect_runs', lambda self, cmd: False)


def no_caught_up_check(patch):
    """A replica answers requests about its state while it replays its log."""
    patch.setattr(Replica, 'is_caught_up', True)


def no_gap_check(patch):
    """Chunks of an answer are passed on as they arrive, also after a gap."""
    on_chunk = RequestFlow._on_chunk

    def without_gap_check(self, msg, now):
        self._delivered.length = msg.offset
        return on_chunk(self, msg, now)

    patch.setattr(RequestFlow, '_on_chunk', without_gap_check)


def no_folder_identity(patch):
    """A member with a blank data folder keeps the identity of the lost one."""
    ignores = Replica._ignores

    def accept_any_member(self, sender, body, now):
        if hasattr(body, 'to_member'):
            return False
        return ignores(self, sender, body, now)

    patch.setattr(Replica, '_ignores', accept_any_member)
    patch.setattr(Disk, 'load', _same_member(Disk.load))


def _same_member(load):
    def load_with_same_member(self):
        persisted = load(self)
        return attrs.evolve(persisted, member=persisted.member.split('-')[0])

    return load_with_same_member


def no_check_quorum(patch):
    """A leader without replies from a majority does not step down."""
    patch.setattr(Replica, '_check_quorum', lambda self, now: None)


def no_proposal_term(patch):
    """A replaced leader takes another leader's record for its own command."""
    patch.setattr(
        ControlCore,
        '_pop_proposal',
        lambda self, entry: self._pending_proposals.pop(entry.index, None),
    )


def no_configuration_request(patch):
    """An entry follows the targets but never requests a newer revision."""

    def without_request(self, sender, view, now):
        self.targets.update(self._follower.apply(sender, view), now)
        return []

    patch.setattr(EntryCore, '_on_view', without_request)


def one_view_source(patch):
    """An entry always polls the same control replica."""
    poll = EntryCore._poll_view

    def poll_first_source(self, now):
        self._view_source = -1
        return poll(self, now)

    patch.setattr(EntryCore, '_poll_view', poll_first_source)


def no_pre_vote(patch):
    """A member without a leader starts a new term without a pre-vote."""
    start = Replica._start_election

    def without_pre_vote(self, now, *, pre):
        start(self, now, pre=False)

    patch.setattr(Replica, '_start_election', without_pre_vote)


def no_stickiness(patch):
    """A follower of a live leader grants votes to other candidates."""
    patch.setattr(
        Replica,
        '_ignores',
        lambda self, sender, body, now: (
            hasattr(body, 'to_member') and body.to_member != self.member
        ),
    )
