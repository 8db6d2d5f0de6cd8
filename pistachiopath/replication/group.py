"""Formation of a replica's group and repair of its membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..messages.replication import (
    Append,
    AppendPart,
    Entry,
    Form,
    InstallSnapshot,
    Member,
    Probe,
    ProbeReply,
)
from .effects import AppendEntries
from .entry_kind import EntryKind
from .first_group import FirstGroup
from .group_log import GroupLog
from .group_search import GroupSearch
from .replica import Replica

if TYPE_CHECKING:
    import random

    from ..messages.base import Message
    from .effects import Effect
    from .persisted import Persisted
    from .timing import Timing

PROMOTION_MAX_SILENCE_S = 1.0
PROMOTION_MAX_LAG_ENTRIES = 256
# A voter that is silent for this long is removed if a learner can replace it.
REPLACE_VOTER_AFTER_S = 3.0
REMOVE_LEARNER_AFTER_S = 15.0
MAX_MEMBERS = 40


class Group:
    """Wraps a `Replica` whose group forms and repairs itself.

    Members with empty data folders form the first group only when every
    configured address replies that its folder is empty too.  A member that
    restarts with an empty folder is a new member: the leader replaces the lost
    member with it as a learner, and promotes it to voter when its log is close
    enough to the leader's.

    With `voters` above zero the group also admits members at addresses that
    are not configured.  It grows to that many voters and keeps the others as
    learners.  A voter that has been silent for `REPLACE_VOTER_AFTER_S` is
    replaced if a learner is ready for promotion.  Members change one at a time.

    `addresses` are those configured at the start, and with `forms` the member may form
    the first group (`FirstGroup`).  With `diskless` it is never a voter: it follows the
    log and passes requests on.
    """

    def __init__(
        self,
        *,
        address: str,
        addresses: tuple[str, ...],
        persisted: Persisted,
        rng: random.Random,
        now: float,
        timing: Timing,
        forms: bool = True,
        voters: int = 0,
        diskless: bool = False,
    ) -> None:
        self.replica = Replica(
            address=address, persisted=persisted, rng=rng, now=now, timing=timing
        )
        self._search = GroupSearch(own_address=address)
        self._first_group = FirstGroup(
            address=address, addresses=addresses, may_form=forms and not diskless
        )
        self._voters = voters
        self._diskless = diskless
        self.set_addresses(addresses)
        self._timing = timing
        self._probe_at = now
        self._log = GroupLog(member=persisted.member)

    def set_addresses(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses at which to look for the group."""
        self._search.set_configured(addresses)

    def set_contacts(self, addresses: tuple[str, ...]) -> None:
        """Set further control nodes that are known, to be asked for the group."""
        self._search.set_contacts(addresses)

    @property
    def is_blank(self) -> bool:
        """Tell whether this member's log is empty and has no snapshot."""
        return self.replica.log.last_index == 0

    def searching_s(self, now: float) -> float:
        """Return for how long this member has looked for its group, in seconds."""
        return self._log.searching_s(now)

    def heard_voters(self, now: float) -> int:
        """Return how many voters the leader hears, itself included; 0 elsewhere."""
        if not self.replica.is_settled:
            return 0
        silent = self._silent_members(now)
        return sum(m.voter and m not in silent for m in self.replica.members)

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Run the timers: elections, heartbeats, probes and membership repair."""
        replica = self.replica
        effects = replica.tick(now)
        if not self._needs_probe():
            self._log.found(now, replica.leader)
        elif now >= self._probe_at:
            self._probe_at = now + self._timing.probe_s
            effects += self._probe(now)
        if replica.is_settled:
            effects += self._repair(now, time_ms)
        return effects

    def receive(
        self, sender: str, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        """Handle a message of the replication protocol."""
        if isinstance(body, Probe):
            return self._on_probe(sender, body, now, time_ms)
        if isinstance(body, ProbeReply):
            return self._on_probe_reply(body, now)
        if isinstance(body, Form):
            return self._on_form(body)
        is_of_leader = isinstance(body, (Append, AppendPart, InstallSnapshot))
        if is_of_leader and body.to_member != self.replica.member:
            self._on_append_for_other(sender, body.to_member, now)
        return self.replica.receive(sender, body, now)

    def _needs_probe(self) -> bool:
        """Tell whether this member has to look for its group.

        A member without a leader may have been removed while it was down.  Its
        own log would still list it as a member.
        """
        return self.is_blank or (self._voters > 0 and not self.replica.leader)

    # Looking for the group, and forming the first one

    def _probe(self, now: float) -> list[Effect]:
        if self.is_blank and self._first_group.is_alone:
            return self._form(())
        known = [m.address for m in self.replica.others()]
        if self.is_blank:
            known += self._first_group.addresses
        addresses = self._search.next_addresses(known)
        replies = self._first_group.replies(now)
        blank = sum(reply.blank for reply in replies)
        self._log.search(
            now,
            asked=addresses,
            blank=blank,
            with_log=len(replies) - blank,
            last_index=self.replica.log.last_index,
        )
        probe = Probe(
            member=self.replica.member,
            address=self.replica.address,
            diskless=self._diskless,
        )
        return [Send(to=a, call=0, body=probe) for a in addresses]

    def _on_append_for_other(self, sender: str, to_member: str, now: float) -> None:
        """Ask a leader for the group that still knows a former folder here."""
        self._log.for_other_member(now, sender, to_member)
        if self._search.note_leader(sender):
            self._probe_at = now

    def _on_probe(
        self, sender: str, probe: Probe, now: float, time_ms: int
    ) -> list[Effect]:
        reply = ProbeReply(
            member=self.replica.member,
            address=self.replica.address,
            blank=self.is_blank,
            diskless=self._diskless,
            forms=self._first_group.can_form,
        )
        effects: list[Effect] = [Send(to=sender, call=0, body=reply)]
        if self.replica.is_settled:
            effects += self._admit_learner(sender, probe, now, time_ms)
        elif sender == probe.address:
            effects += self._pass_on(probe)
        return effects

    def _pass_on(self, probe: Probe) -> list[Effect]:
        """Pass a probe on to the leader, or to all members if it is not known.

        The prober knows the configured addresses; the leader may be at another.
        """
        members = [m.address for m in self.replica.others()]
        addresses = [self.replica.leader] if self.replica.leader else members
        return [
            Send(to=address, call=0, body=probe)
            for address in addresses
            if address != probe.address
        ]

    def _on_probe_reply(self, reply: ProbeReply, now: float) -> list[Effect]:
        self._first_group.note(reply, now)
        others = self._first_group.others(now) if self.is_blank else ()
        return self._form(others) if others else []

    def _form(self, others: tuple[Member, ...]) -> list[Effect]:
        own = Member(member=self.replica.member, address=self.replica.address)
        form = Form(members=(own, *others))
        effects = self._on_form(form)
        return effects + [Send(to=m.address, call=0, body=form) for m in others]

    def _on_form(self, form: Form) -> list[Effect]:
        listed = any(m.member == self.replica.member for m in form.members)
        if not self.is_blank or not listed:
            return []
        entry = Entry(
            index=1, term=0, kind=EntryKind.MEMBERS, time_ms=0, members=form.members
        )
        self.replica.log.append(entry)
        return [AppendEntries(entries=(entry,))]

    # Repair by the leader

    def _admit_learner(
        self, sender: str, probe: Probe, now: float, time_ms: int
    ) -> list[Effect]:
        """Admit a probing member as a learner, replacing one at its address.

        One record removes the voter whose folder is lost and adds the learner.
        This changes the voters only once, and no majority counts a folder that
        is known to be lost.
        """
        members = self.replica.members
        if any(m.member == probe.member for m in members):
            return []
        remaining = tuple(m for m in members if m.address != probe.address)
        refusal = self._refusal(remaining)
        if refusal:
            self._log.not_admitted(now, probe, refusal)
            return []
        learner = Member(
            member=probe.member,
            address=probe.address,
            voter=False,
            diskless=probe.diskless,
        )
        replaced = [m for m in members if m not in remaining]
        self._log.admitted(learner, replaced, sender)
        return self._propose_members((*remaining, learner), now, time_ms)

    def _refusal(self, remaining: tuple[Member, ...]) -> str:
        """Return why no learner can be added to the remaining members, or ''."""
        members = self.replica.members
        is_new = len(remaining) == len(members)
        if self._has_pending_change():
            return 'a change of members is pending'
        if is_new and not self._voters:
            return 'the address is not configured'
        if is_new and len(members) >= MAX_MEMBERS:
            return 'the group is full'
        if not any(m.voter for m in remaining):
            return 'no voter would remain'
        return ''

    def _repair(self, now: float, time_ms: int) -> list[Effect]:
        """Promote a learner that is ready, or remove a silent member."""
        if self._has_pending_change():
            return []
        members = self.replica.members
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
        return sum(m.voter for m in self.replica.members) - self._voters

    def _silent_members(self, now: float) -> list[Member]:
        """Return the members that have been silent for too long."""
        silent = []
        for member in self.replica.others():
            limit_s = REPLACE_VOTER_AFTER_S if member.voter else REMOVE_LEARNER_AFTER_S
            if self._silent_s(member, now) >= limit_s:
                silent.append(member)
        return silent

    def _silent_s(self, member: Member, now: float) -> float:
        progress = self.replica.progress_of(member.member)
        return now - progress.last_reply_at if progress else 0.0

    def _lag(self, member: Member) -> int:
        progress = self.replica.progress_of(member.member)
        return self.replica.commit - progress.match if progress else 0

    def _log_missing_voters(self, silent: list[Member], now: float) -> None:
        learners = [m for m in self.replica.members if not m.voter and not m.diskless]
        self._log.voters_missing(
            now,
            wanted=self._voters,
            silent=[m.address for m in silent if m.voter],
            learners=[m.address for m in learners],
        )

    def _with_vote(self, learner: Member) -> tuple[Member, ...]:
        voter = Member(member=learner.member, address=learner.address)
        return tuple(voter if m == learner else m for m in self.replica.members)

    def _has_pending_change(self) -> bool:
        return self.replica.log.members_index > self.replica.commit

    def _is_promotable(self, member: Member, now: float) -> bool:
        if member.diskless:
            return False
        progress = self.replica.progress_of(member.member)
        if progress is None or now - progress.last_reply_at > PROMOTION_MAX_SILENCE_S:
            return False
        lag = self.replica.commit - progress.match
        return progress.match > 0 and lag <= PROMOTION_MAX_LAG_ENTRIES

    def _propose_members(
        self, members: tuple[Member, ...], now: float, time_ms: int
    ) -> list[Effect]:
        _, effects = self.replica.propose(
            EntryKind.MEMBERS, now, time_ms, members=members
        )
        return effects + self.replica.flush(now)
