"""Changes of a group's members by its leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.replication import Member
from .entry_kind import EntryKind

if TYPE_CHECKING:
    from ..messages.replication import Probe
    from .effects import Effect
    from .group_log import GroupLog
    from .replica import Replica

PROMOTION_MAX_SILENCE_S = 1.0
# Replies come every heartbeat.  A member that starts again sooner asks again.
HEARD_MAX_SILENCE_S = 0.3
PROMOTION_MAX_LAG_ENTRIES = 256
# A voter that is silent for this long is removed if a learner can replace it.
REPLACE_VOTER_AFTER_S = 3.0
REMOVE_LEARNER_AFTER_S = 15.0
MAX_MEMBERS = 40


class GroupRepair:
    """Takes members in, promotes learners and removes silent members, one at a time.

    The group grows to `voters` voters; with 0 it keeps the configured members.  The
    caller asks only a leader that has committed a record of its term.
    """

    def __init__(self, *, replica: Replica, voters: int, log: GroupLog) -> None:
        self._replica = replica
        self._voters = voters
        self._log = log

    def heard_voters(self, now: float) -> int:
        """Return how many voters the leader hears, itself included."""
        silent = self._silent_members(now)
        return sum(m.voter and m not in silent for m in self._replica.members)

    def admit(
        self, sender: str, probe: Probe, now: float, time_ms: int
    ) -> list[Effect]:
        """Admit a member that probes as a learner, replacing one at its address.

        One record removes the voter whose folder is lost and adds the learner.
        This changes the voters only once, and no majority counts a folder that
        is known to be lost.
        """
        members = self._replica.members
        if any(m.member == probe.member for m in members):
            return []
        remaining = tuple(m for m in members if m.address != probe.address)
        replaced = [m for m in members if m not in remaining]
        refusal = self._refusal(replaced, now)
        if refusal:
            self._log.not_admitted(now, probe, refusal)
            return []
        learner = Member(
            member=probe.member,
            address=probe.address,
            voter=False,
            diskless=probe.diskless,
        )
        self._log.admitted(learner, replaced, sender)
        return self._propose_members((*remaining, learner), now, time_ms)

    def _refusal(self, replaced: list[Member], now: float) -> str:
        """Return why no learner can be added in place of these members, or ''.

        A question that was passed on late may name a former folder of a member that
        is heard; a member whose folder is lost is not.
        """
        members = self._replica.members
        if self._has_pending_change():
            return 'a change of members is pending'
        if not replaced and not self._voters:
            return 'the address is not configured'
        if not replaced and len(members) >= MAX_MEMBERS:
            return 'the group is full'
        if any(self._is_heard(m, now) for m in replaced):
            return 'the member at the address is heard'
        if not any(m.voter for m in members if m not in replaced):
            return 'no voter would remain'
        return ''

    def _is_heard(self, member: Member, now: float) -> bool:
        """Tell whether a member is this one, or replied a moment ago."""
        if member.member == self._replica.member:
            return True
        return self._silent_s(member, now) < HEARD_MAX_SILENCE_S

    def repair(self, now: float, time_ms: int) -> list[Effect]:
        """Promote a learner that is ready, or remove a silent member."""
        if self._has_pending_change():
            return []
        members = self._replica.members
        promotable = [m for m in members if not m.voter and self._is_promotable(m, now)]
        silent = self._silent_members(now) if self._voters else []
        if promotable and self._needs_voter(silent):
            self._log.promoted(promotable[0], self._lag(promotable[0]))
            return self._propose_members(self._with_vote(promotable[0]), now, time_ms)
        if self._voters and self._needs_voter(silent):
            self._log_missing_voters(silent, now)
        removable = [m for m in silent if not m.voter or self._extra_voters() > 0]
        if not removable:
            return []
        self._log.removed(removable[0], self._silent_s(removable[0], now))
        remaining = tuple(m for m in members if m != removable[0])
        return self._propose_members(remaining, now, time_ms)

    def _needs_voter(self, silent: list[Member]) -> bool:
        """Tell whether to promote a learner, also to replace a silent voter.

        The replacement votes before the silent voter is removed: its disk may
        still be needed if others are lost meanwhile.
        """
        extra = self._extra_voters()
        has_silent_voter = any(m.voter for m in silent)
        return not self._voters or extra < 0 or (extra == 0 and has_silent_voter)

    def _extra_voters(self) -> int:
        return sum(m.voter for m in self._replica.members) - self._voters

    def _silent_members(self, now: float) -> list[Member]:
        """Return the members that have been silent for too long."""
        silent = []
        for member in self._replica.others():
            limit_s = REPLACE_VOTER_AFTER_S if member.voter else REMOVE_LEARNER_AFTER_S
            if self._silent_s(member, now) >= limit_s:
                silent.append(member)
        return silent

    def _silent_s(self, member: Member, now: float) -> float:
        progress = self._replica.progress_of(member.member)
        return now - progress.last_reply_at if progress else 0.0

    def _lag(self, member: Member) -> int:
        progress = self._replica.progress_of(member.member)
        return self._replica.commit - progress.match if progress else 0

    def _log_missing_voters(self, silent: list[Member], now: float) -> None:
        learners = [m for m in self._replica.members if not m.voter and not m.diskless]
        self._log.voters_missing(
            now,
            wanted=self._voters,
            silent=[m.address for m in silent if m.voter],
            learners=[m.address for m in learners],
        )

    def _with_vote(self, learner: Member) -> tuple[Member, ...]:
        voter = Member(member=learner.member, address=learner.address)
        return tuple(voter if m == learner else m for m in self._replica.members)

    def _has_pending_change(self) -> bool:
        return self._replica.log.members_index > self._replica.commit

    def _is_promotable(self, member: Member, now: float) -> bool:
        if member.diskless:
            return False
        progress = self._replica.progress_of(member.member)
        if progress is None or now - progress.last_reply_at > PROMOTION_MAX_SILENCE_S:
            return False
        lag = self._replica.commit - progress.match
        return progress.match > 0 and lag <= PROMOTION_MAX_LAG_ENTRIES

    def _propose_members(
        self, members: tuple[Member, ...], now: float, time_ms: int
    ) -> list[Effect]:
        _, effects = self._replica.propose(
            EntryKind.MEMBERS, now, time_ms, members=members
        )
        return effects + self._replica.flush(now)
