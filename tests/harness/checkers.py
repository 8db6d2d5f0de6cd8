"""Checks of the guarantees, made at each event of a simulation."""

from __future__ import annotations

from collections import defaultdict

from pistachiopath.claims.status import ClaimStatus
from pistachiopath.errors.outcomes import NOT_RUN, Completed, Failed, Quarantined
from pistachiopath.messages.claims import ClaimReply
from pistachiopath.messages.dispatch import NotStarted

from .in_force import InForceWatch

DEPARTURE_GRACE_S = 3.0
POISON = b'poison'
MAX_CRASHES = 2


class Violation(AssertionError):
    """A guarantee was violated."""


class Checkers:
    """Records events and raises `Violation` as soon as one breaks a guarantee."""

    def __init__(self, *, world):
        self._world = world
        self.runs = defaultdict(list)
        self._submitted = defaultdict(list)
        self._not_run = {}
        self._refused = {}
        self._refusal_indexes = set()
        self._contents = {}
        self._fences = defaultdict(int)
        self._revisions = defaultdict(int)
        self._accepted = {}

    def control_replies(self, control, effect):
        """Record when a refusal was committed; the leader replies at that time."""
        body = effect.body
        if not isinstance(body, ClaimReply) or body.status != ClaimStatus.REFUSED:
            return
        if body.refusal_index in self._refusal_indexes:
            return
        self._refusal_indexes.add(body.refusal_index)
        for claim in control.core.state.claims:
            if claim.refusal_index == body.refusal_index:
                self._refused[claim.key] = self._world.net.now

    def submitted(self, key: bytes):
        self._submitted[key].append(self._world.net.now)

    def run_started(self, target, key: bytes):
        """Check a run that starts from the beginning on an engine."""
        now = self._world.net.now
        self.runs[key].append((now, target.name))
        if len(self.runs[key]) > 1:
            raise Violation(f'dispatched twice: {key.hex()} {self.runs[key]}')
        reported_at = self._not_run.get(key)
        resubmitted = [
            at for at in self._submitted[key] if reported_at and at >= reported_at
        ]
        if reported_at is not None and not resubmitted:
            raise Violation(f'ran after it was reported as not run: {key.hex()}')
        if self._retired_for_s(target) > DEPARTURE_GRACE_S:
            raise Violation(f'{target.name} started a run after it was retired')
        departed_at = target.departed_at
        if departed_at is not None and now > departed_at + DEPARTURE_GRACE_S:
            raise Violation(f'{target.name} got new work after it departed')

    def _retired_for_s(self, target) -> float:
        """Return the seconds since the target's incarnation ended, 0 if it has not."""
        control = max(
            self._world.controls.values(), key=lambda c: c.core.state.clock_ms
        )
        record = control.core.state.targets.get(target.name)
        own = target.core.gate.incarnation
        if record is None or (record.incarnation == own and not record.retired):
            return 0.0
        return (control.time_ms + control.skew_ms - record.updated_ms) / 1000

    def engine_crashed(self, crashes):
        """Check that content is quarantined before it crashes a third target.

        Runs that started before the second crash was reported may also crash
        their targets, so crashes within 5 s of the previous one don't count.
        """
        distinct = [
            at for n, at in enumerate(crashes) if not n or at > crashes[n - 1] + 5
        ]
        if len(distinct) > MAX_CRASHES:
            raise Violation(f'the same content crashed targets at {crashes}')

    def concluded(self, call, outcome):
        """Check the outcome and the data that a caller received."""
        key = call.key
        if outcome.kind in NOT_RUN:
            if self._ran_before_refusal(key):
                raise Violation(f'reported {outcome} but it ran: {self.runs[key]}')
            # The outcome holds as of the commit of the refusal.  A later
            # submission is a new attempt, even if this caller receives the
            # outcome after it.
            refused = self._refused.get(key, self._world.net.now)
            self._not_run[key] = max(refused, self._not_run.get(key, 0.0))
        if isinstance(outcome, Failed) and not self.runs[key]:
            raise Violation(f'reported {outcome} but it never ran: {call}')
        if isinstance(outcome, Quarantined) and POISON not in call.content:
            raise Violation(f'quarantined though it is harmless: {call}')
        if isinstance(outcome, Completed) and bytes(call.data) != call.expected:
            raise Violation(f'not the complete answer to the call: {call}')
        if not call.expected.startswith(bytes(call.data)):
            raise Violation(f'not a prefix of the answer to the call: {call}')

    def _ran_before_refusal(self, key: bytes) -> bool:
        """Tell whether a run started that no submission after the refusal caused.

        A refusal doesn't cover submissions made after it was committed, also
        if the caller receives it later than that.
        """
        refused = self._refused.get(key)
        for started_at, _ in self.runs[key]:
            if refused is None or started_at < refused:
                return True
            if not any(refused <= at <= started_at for at in self._submitted[key]):
                return True
        return False

    def agent_sends(self, agent, effect):
        """Check that no promised run is shed while the agent holds other work."""
        body = effect.body
        if not isinstance(body, NotStarted) or body.reason != 'shed':
            return
        run = agent.core.gate.run(body.key)
        held = [r for r in agent.core.gate.held() if not r.work.promised]
        if run is not None and run.work.promised and held:
            raise Violation(f'{agent.name} shed promised work before {held}')

    def in_force(self, entry, effect):
        self._check_revision(f'{entry.name}-{entry._generation}', effect.revision)
        self._check_content(effect.revision, effect.content)

    def control_state(self, control):
        if not control.core.is_serving:
            # It is replaying its log and does not answer requests about its state.
            return
        state = control.core.state
        self._check_revision(control.disk.load().member, state.revision)
        self._check_content(state.revision, state.configuration)

    def accepted(self, revision: int, content: bytes):
        if revision not in self._accepted:
            InForceWatch(world=self._world, revision=revision)
        self._accepted[revision] = content
        self._check_content(revision, content)

    def check_in_force(self, entry: str, revision: int, accepted: int):
        """Check that an entry has an accepted revision by its deadline."""
        if revision < accepted:
            raise Violation(f'{entry} has {revision}, not {accepted}, after 4 s')

    def promised_refused(self, entry, submission):
        """Raise if promised work is refused while other work could be paused.

        Runs that can't be resumed, or are executed only once, aren't paused.
        """
        for agent in self._world.agents.values():
            if not agent.alive or agent.core.gate.departing:
                continue
            pausable = [
                run
                for run in agent.core.gate.running()
                if run.resumable and not run.work.promised and not run.work.once
            ]
            if pausable:
                raise Violation(f'{entry} refused {submission} beside {pausable}')

    def check_final_state(self):
        """Check that the last accepted revision is in force at all live nodes."""
        newest = max(self._accepted, default=0)
        if newest and self._world.has_majority():
            self._check_versions()
        for control in self._world.controls.values():
            if control.alive and control.core.state.revision < newest:
                raise Violation(f'{control.name} lacks revision {newest}')

    def ordered(self, agent, order):
        """Check that no engine executes an order of a superseded leader."""
        if order.fence < self._fences[agent.name]:
            raise Violation(f'{agent.name} executed the old order {order}')
        self._fences[agent.name] = order.fence

    def _check_versions(self):
        """Check that every engine has loaded the version that is in force."""
        wanted = max(
            (c.core.state for c in self._world.controls.values()),
            key=lambda state: state.revision,
        ).configuration.decode()
        for agent in self._world.agents.values():
            version = self._world.loaded_model(agent).version
            if agent.alive and version != wanted:
                raise Violation(f'{agent.name} has {version!r}, not {wanted!r}')

    def _check_revision(self, process: str, revision: int):
        if revision < self._revisions[process]:
            raise Violation(f'{process} went back to revision {revision}')
        self._revisions[process] = revision

    def _check_content(self, revision: int, content: bytes):
        if self._contents.setdefault(revision, content) != content:
            raise Violation(f'revision {revision} has two contents')
