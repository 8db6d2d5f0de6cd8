"""One replica of the log: elections, replication and commit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..messages.replication import (
    Append,
    AppendPart,
    AppendPartReply,
    AppendReply,
    Entry,
    InstallSnapshot,
    Member,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .effects import (
    AppendEntries,
    Apply,
    RestoreState,
    SaveSnapshot,
    SaveVote,
    WriteSnapshotPart,
)
from .election_clock import ElectionClock
from .entry_kind import EntryKind
from .log import Log
from .log_follower import LogFollower
from .replicator import Replicator
from .role import Role
from .timing import Timing

if TYPE_CHECKING:
    import random

    from ..messages.base import Message
    from .effects import Effect
    from .persisted import Persisted
    from .progress import Progress

# Longest election timeouts without a message of the leader after which a learner knows
# none; the voters elect another one within the first.
LEARNER_PATIENCE = 2


class Replica:
    """Deterministic state machine of the replication protocol.

    Methods that handle events return effects.  The shell carries out the storage
    effects, syncs them, calls `synced`, and only then sends messages.  `now` is a
    monotonic clock in seconds.  Peers are identified by their addresses.

    The protocol has terms and votes, elections with a pre-vote, a leader that
    steps down when no majority replies within an election timeout, membership
    changes one at a time, learners without a vote, and snapshots.
    """

    def __init__(
        self,
        *,
        address: str,
        persisted: Persisted,
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.address = address
        self.member = persisted.member
        self.term = persisted.term
        self.role = Role.FOLLOWER
        self.leader = ''
        self.log = Log(
            base_index=persisted.snapshot_index,
            base_term=persisted.snapshot_term,
            base_members=persisted.snapshot_members,
            entries=persisted.entries,
        )
        self.commit = persisted.snapshot_index
        self.led_since = now
        self._voted_for = persisted.voted_for
        self._leader_commit: int | None = None
        self.snapshot = persisted.snapshot
        self._durable_index = self.log.last_index
        self._timing = timing or Timing()
        self._votes: set[str] = set()
        self._pre_voting = False
        self._replicator = Replicator(replica=self, timing=self._timing)
        self._follower = LogFollower(
            replica=self,
            accept_leader=self._accept_leader,
            commit_up_to=self._commit_up_to,
            install=self._install,
            add_effect=self._add_effect,
        )
        self._leader_contact_at = -self._timing.election_max_s
        self._effects: list[Effect] = []
        self._election_clock = ElectionClock(timing=self._timing, rng=rng)
        self._election_at = now + self._election_clock.draw_timeout_s()

    @property
    def members(self) -> tuple[Member, ...]:
        """Members in the newest membership record, committed or not."""
        return self.log.members()

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_settled(self) -> bool:
        """Tell whether this replica leads and has committed a record of its term."""
        return self.is_leader and self.log.term_at(self.commit) == self.term

    @property
    def is_caught_up(self) -> bool:
        """Tell whether all records committed in earlier terms are applied.

        This is known once this replica has applied a record of the current
        leader's own term and reached the commit index that the leader's first
        append contained.
        """
        if self._leader_commit is None or self.commit < self._leader_commit:
            return False
        return self.log.term_at(self.commit) == self.term

    def progress_of(self, member: str) -> Progress | None:
        """Return a follower's replication progress, or None if it is unknown."""
        return self._replicator.progress_of(member)

    def restored(self) -> list[Effect]:
        """Return the effect that restores the state from the stored snapshot."""
        if not self.snapshot:
            return []
        return [RestoreState(index=self.log.base_index, data=self.snapshot)]

    def tick(self, now: float) -> list[Effect]:
        """Run the timers: elections, heartbeats, resends and step-down."""
        if self.is_leader:
            self._check_quorum(now)
        if self.is_leader:
            self._replicator.send_due(now)
        elif not self._is_voter():
            self._forget_silent_leader(now)
        elif now >= self._election_at:
            self._start_election(now, pre=True)
        return self._take_effects()

    def propose(
        self, kind: EntryKind, now: float, time_ms: int, **content: object
    ) -> tuple[int, list[Effect]]:
        """Append a record as the leader; return its index and effects."""
        entry = Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            time_ms=time_ms,
            **content,
        )
        self.log.append(entry)
        self._add_effect(AppendEntries(entries=(entry,)))
        if kind is EntryKind.MEMBERS:
            self._replicator.update_members(now)
        return entry.index, self._take_effects()

    def flush(self, now: float) -> list[Effect]:
        """Send the records proposed since the last flush to the followers."""
        if self.is_leader:
            self._replicator.replicate_all(now)
        return self._take_effects()

    def synced(self, now: float) -> list[Effect]:
        """Record that all storage effects so far are on disk."""
        self._durable_index = self.log.last_index
        if self.is_leader:
            self._advance_commit()
        return self._take_effects()

    def snapshot_part(self, index: int, offset: int, data: bytes) -> Effect:
        """Return the effect that stores a part of an unfinished snapshot."""
        return WriteSnapshotPart(
            index=index,
            term=self.log.term_at(index) or 0,
            members=self.log.members(index),
            offset=offset,
            data=data,
        )

    def compact(self, index: int, data: bytes | bytearray) -> list[Effect]:
        """Replace the records up to an applied index with a snapshot."""
        members = self.log.members(index)
        term = self.log.term_at(index) or 0
        self.log.compact(index, members)
        self.snapshot = data
        return [SaveSnapshot(index=index, term=term, members=members, data=data)]

    def receive(self, sender: str, body: Message, now: float) -> list[Effect]:
        """Handle a message of the replication protocol."""
        if self._ignores(sender, body, now):
            return self._take_effects()
        if body.term > self.term and not self._carries_proposed_term(body):
            self._follow(body.term, '', now)
        handlers = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            Append: self._follower.on_append,
            AppendReply: self._on_append_reply,
            InstallSnapshot: self._follower.on_install,
            SnapshotReply: self._on_part_reply,
            AppendPart: self._follower.on_append_part,
            AppendPartReply: self._on_part_reply,
        }
        handlers[type(body)](sender, body, now)
        return self._take_effects()

    # Elections

    def _ignores(self, sender: str, body: Message, now: float) -> bool:
        """Tell whether a message has to be ignored.

        Messages for another data folder are ignored.  So are vote requests while
        the group has a live leader, because a removed or restarted member must
        not disturb it.  A leader is live if it is this replica or has sent it a
        message within `election_min_s`.  Pre-vote requests are then denied.
        """
        if isinstance(body, (Append, AppendPart, InstallSnapshot)):
            return body.to_member != self.member
        if not isinstance(body, VoteRequest):
            return False
        if self.is_leader:
            has_live_leader = True
        else:
            has_live_leader = (
                now - self._leader_contact_at < self._timing.election_min_s
            )
        if has_live_leader and body.pre:
            self._reply_vote(sender, body, granted=False)
        return has_live_leader

    @staticmethod
    def _carries_proposed_term(body: Message) -> bool:
        if isinstance(body, VoteRequest):
            return body.pre
        return isinstance(body, VoteReply) and body.pre and body.granted

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_election(now)
        self.leader = ''
        self._pre_voting = pre
        if not pre:
            self.role = Role.CANDIDATE
            self.term += 1
            self._voted_for = self.member
            self._save_vote()
        self._votes = {self.member}
        if self._has_majority(self._votes):
            self._election_won(now)
            return
        request = VoteRequest(
            member=self.member,
            term=self.term + 1 if pre else self.term,
            pre=pre,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
        )
        for peer in self.others():
            if peer.voter:
                self.send(peer.address, request)

    def _forget_silent_leader(self, now: float) -> None:
        """Forget a leader that a member without a vote hears no more.

        Voters find out by an election that they no longer belong to the group.
        """
        silent_s = now - self._leader_contact_at
        if silent_s >= LEARNER_PATIENCE * self._timing.election_max_s:
            self.leader = ''

    def _on_vote_request(self, sender: str, req: VoteRequest, now: float) -> None:
        is_up_to_date = (req.last_term, req.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if req.pre:
            granted = (
                is_up_to_date
                and req.term > self.term
                and not self._has_precedence_over(req)
            )
            self._reply_vote(sender, req, granted=granted)
            return
        has_free_vote = self._voted_for in ('', req.member)
        granted = is_up_to_date and has_free_vote and req.term == self.term
        if granted:
            self._voted_for = req.member
            self._save_vote()
            self._reset_election(now)
        self._reply_vote(sender, req, granted=granted)

    def _has_precedence_over(self, req: VoteRequest) -> bool:
        """Tell whether this replica's own pre-vote has precedence over a request.

        While election timeouts are short, two replicas with equal logs often
        request pre-votes at the same time.  Without an order both would become
        candidates and neither would be elected.
        """
        if not (self._pre_voting and self._election_clock.has_short_timeouts):
            return False
        own = (self.log.last_term, self.log.last_index)
        return own == (req.last_term, req.last_index) and self.member > req.member

    def _reply_vote(self, to: str, req: VoteRequest, *, granted: bool) -> None:
        term = req.term if req.pre and granted else self.term
        reply = VoteReply(member=self.member, term=term, pre=req.pre, granted=granted)
        self.send(to, reply)

    def _on_vote_reply(self, sender: str, reply: VoteReply, now: float) -> None:
        expected = self.term + 1 if self._pre_voting else self.term
        if reply.pre != self._pre_voting or reply.term != expected:
            return
        if not reply.granted or self.is_leader or not self._votes:
            return
        self._votes.add(reply.member)
        if self._has_majority(self._votes):
            self._election_won(now)

    def _election_won(self, now: float) -> None:
        if self._pre_voting:
            self._start_election(now, pre=False)
            return
        self.role = Role.LEADER
        self.leader = self.address
        self.led_since = now
        self._election_clock.end_short_timeouts()
        self._votes = set()
        self._leader_commit = 0
        self._replicator.reset()
        self._replicator.update_members(now)
        noop = Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=EntryKind.NOOP,
            time_ms=0,
        )
        self.log.append(noop)
        self._add_effect(AppendEntries(entries=(noop,)))
        self._replicator.replicate_all(now)

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self._voted_for = ''
            self._save_vote()
        if self.role is not Role.FOLLOWER:
            self._reset_election(now)
        self.role = Role.FOLLOWER
        self._votes = set()
        self._pre_voting = False
        self.leader = leader
        self._leader_commit = None
        self._replicator.reset()

    def _check_quorum(self, now: float) -> None:
        replied = self._replicator.replied_since(now - self._timing.election_max_s)
        if not self._has_majority(replied | {self.member}):
            self._follow(self.term, '', now)

    # Replication by the leader

    def _on_append_reply(self, sender: str, reply: AppendReply, now: float) -> None:
        if self.is_leader and reply.term == self.term:
            self._replicator.on_append_reply(reply, now)
            self._advance_commit()

    def _on_part_reply(
        self, sender: str, reply: SnapshotReply | AppendPartReply, now: float
    ) -> None:
        if self.is_leader and reply.term == self.term:
            self._replicator.on_part_reply(reply, now)

    def _advance_commit(self) -> None:
        index = self._replicator.majority_match(self._durable_index)
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_up_to(index)

    def _commit_up_to(self, index: int) -> None:
        """Commit and apply the records up to an index that are not committed yet."""
        for position in range(self.commit + 1, index + 1):
            entry = self.log.get(position)
            self._add_effect(Apply(entry=entry))
        self.commit = max(self.commit, index)

    # What the follower side needs

    def _accept_leader(
        self, sender: str, term: int, now: float, *, commit: int | None = None
    ) -> None:
        """Follow the sender, the leader of a term; keep its first commit index."""
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(term, sender, now)
        self._pre_voting = False
        self._votes = set()
        self._leader_contact_at = now
        self._election_clock.end_short_timeouts()
        self._reset_election(now)
        if self._leader_commit is None:
            self._leader_commit = commit

    def _install(self, msg: InstallSnapshot, data: bytes) -> None:
        """Replace the state by a snapshot of the leader, and the log up to it.

        The records behind it are kept only if they follow its last record.
        """
        replaces_log = self.log.term_at(msg.index) != msg.index_term
        if replaces_log:
            self.log.reset(msg.index, msg.index_term, msg.members)
        else:
            self.log.compact(msg.index, msg.members)
        self.commit = msg.index
        self.snapshot = data
        self._add_effect(
            SaveSnapshot(
                index=msg.index,
                term=msg.index_term,
                members=msg.members,
                data=data,
                replaces_log=replaces_log,
            )
        )
        self._add_effect(RestoreState(index=msg.index, data=data))

    # Helpers

    def others(self) -> list[Member]:
        """Return all members except this one."""
        return [m for m in self.members if m.member != self.member]

    def _is_voter(self) -> bool:
        return any(m.voter and m.member == self.member for m in self.members)

    def _has_majority(self, members: set[str]) -> bool:
        voters = [m.member for m in self.members if m.voter]
        count = sum(1 for member in voters if member in members)
        return 2 * count > len(voters)

    def _reset_election(self, now: float) -> None:
        self._election_at = now + self._election_clock.draw_timeout_s()

    def _save_vote(self) -> None:
        self._add_effect(SaveVote(term=self.term, voted_for=self._voted_for))

    def send(self, to: str, body: Message) -> None:
        """Add a message to the effects of the current call."""
        self._add_effect(Send(to=to, call=0, body=body))

    def _add_effect(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects
