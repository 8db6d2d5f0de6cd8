"""Ways to switch one mechanism off, for tests that must then fail."""

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
    """Contains whatever it is asked for."""

    def __contains__(self, item):
        return True

    def add(self, item):
        pass


def no_tombstone(patch):
    """A run that is given back leaves no record."""
    give_back = Gate._give_back

    def forgetful(self, run, reason, now):
        effects = give_back(self, run, reason, now)
        self._runs.pop(run.key, None)
        return effects

    patch.setattr(Gate, '_give_back', forgetful)


def no_drained_release(patch):
    """What is bound to a drained target ends as unknown."""
    retire = ReplicatedState._retire

    def forgetful(self, cmd):
        return retire(self, attrs.evolve(cmd, drained=False))

    patch.setattr(ReplicatedState, '_retire', forgetful)


def no_sign_of_life(patch):
    """An agent answers nothing for a run that has nothing to show yet."""
    attach = Gate.attach

    def mute(self, sender, msg, now):
        effects = attach(self, sender, msg, now)
        return [e for e in effects if not isinstance(e.body, Accepted)]

    patch.setattr(Gate, 'attach', mute)


def no_sync(patch):
    """The disk never gets what is written to it."""
    patch.setattr(Disk, 'sync', lambda self: None)
    patch.setattr(Disk, 'crash', lambda self: self._pending.clear())


def no_incarnation_check(patch):
    """An agent takes what was bound to another process."""
    init = Gate.__init__

    def trusting(self, **kwargs):
        init(self, **kwargs)
        self._incarnations = Everything()

    patch.setattr(Gate, '__init__', trusting)
    patch.setattr(Gate, '_refusal', lambda self, msg: '')


def no_fencing_check(patch):
    """An agent passes on every order for its incarnation."""
    receive = OrderGate.receive

    def trusting(self, order):
        self._highest_fence = 0
        return receive(self, order)

    patch.setattr(OrderGate, 'receive', trusting)


def no_lease_check(patch):
    """An agent starts queued runs after its lease ran out."""
    start_due = Gate._start_due

    def eternal(self, now):
        self.lease_until = float('inf')
        return start_due(self, now)

    patch.setattr(Gate, '_start_due', eternal)


def no_gate_dedup(patch):
    """An agent runs every dispatch that arrives."""
    dispatch = Gate.dispatch

    def forgetful(self, sender, msg, now):
        self._runs.pop(msg.key, None)
        return dispatch(self, sender, msg, now)

    patch.setattr(Gate, 'dispatch', forgetful)


def no_claim(patch):
    """Every bind is granted."""
    bind = ClaimTable.bind

    def generous(self, cmd, now_ms):
        claim = self._claims.get(cmd.key)
        if claim is not None:
            claim.state = ClaimState.RELEASED
        return bind(self, cmd, now_ms)

    patch.setattr(ClaimTable, 'bind', generous)


def no_refusal_commit(patch):
    """A caller is told 'not run' before that is committed."""

    def hasty(self, kind, reason, retry_after_ms, now):
        record = OutcomeRecord(kind=kind, reason=reason, retry_after_ms=retry_after_ms)
        return self._conclude(from_record(record))

    patch.setattr(RequestFlow, 'refuse', hasty)


def no_refusal_order(patch):
    """A bind from before a refusal is granted after it."""
    bind = ClaimTable.bind

    def careless(self, cmd, now_ms):
        claim = self._claims.get(cmd.key)
        if claim is not None and claim.state is ClaimState.REFUSED:
            claim.state = ClaimState.RELEASED
        return bind(self, cmd, now_ms)

    patch.setattr(ClaimTable, 'bind', careless)


def preempt_anything(patch):
    """Runs that can't be resumed are paused too."""

    def greedy(self, run):
        if not run.work.promised:
            return None
        others = [r for r in self._running.values() if not r.work.promised]
        return max(others, key=lambda r: r.priority, default=None)

    patch.setattr(Gate, '_preemptible', greedy)


def no_suspect_isolation(patch):
    """Suspects run beside each other."""
    patch.setattr(ClaimTable, '_other_suspect_runs', lambda self, cmd: False)


def no_caught_up_check(patch):
    """A replica answers about its state while it replays its log."""
    patch.setattr(Replica, 'is_caught_up', True)


def no_gap_check(patch):
    """Parts of an answer are passed on in the order they come."""
    on_chunk = RequestFlow._on_chunk

    def careless(self, msg, now):
        self._delivered.length = msg.offset
        return on_chunk(self, msg, now)

    patch.setattr(RequestFlow, '_on_chunk', careless)


def no_folder_identity(patch):
    """A blank data folder answers for the one that was lost."""
    ignores = Replica._ignores

    def careless(self, sender, body, now):
        if hasattr(body, 'to_member'):
            return False
        return ignores(self, sender, body, now)

    patch.setattr(Replica, '_ignores', careless)
    patch.setattr(Disk, 'load', _same_member(Disk.load))


def _same_member(load):
    def renamed(self):
        persisted = load(self)
        return attrs.evolve(persisted, member=persisted.member.split('-')[0])

    return renamed


def no_check_quorum(patch):
    """A leader that hears nobody goes on leading."""
    patch.setattr(Replica, '_check_quorum', lambda self, now: None)


def no_proposal_term(patch):
    """A replaced leader takes its own command for another's record."""
    patch.setattr(
        ControlCore,
        '_pop_proposal',
        lambda self, entry: self._pending_proposals.pop(entry.index, None),
    )


def no_configuration_request(patch):
    """An entry follows the targets and never asks for a newer revision."""

    def deaf(self, sender, view, now):
        self.targets.update(self._follower.apply(sender, view), now)
        return []

    patch.setattr(EntryCore, '_on_view', deaf)


def one_view_source(patch):
    """An entry asks the same control replica all the time."""
    poll = EntryCore._poll_view

    def stuck(self, now):
        self._view_source = -1
        return poll(self, now)

    patch.setattr(EntryCore, '_poll_view', stuck)


def no_pre_vote(patch):
    """A member that hears nobody begins a new term at once."""
    start = Replica._start_election

    def eager(self, now, *, pre):
        start(self, now, pre=False)

    patch.setattr(Replica, '_start_election', eager)


def no_stickiness(patch):
    """A follower of a live leader votes for others."""
    patch.setattr(
        Replica,
        '_ignores',
        lambda self, sender, body, now: (
            hasattr(body, 'to_member') and body.to_member != self.member
        ),
    )
