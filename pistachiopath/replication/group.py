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
from .group_repair import GroupRepair
from .group_search import GroupSearch
from .replica import Replica

if TYPE_CHECKING:
    import random

    from ..messages.base import Message
    from .effects import Effect
    from .persisted import Persisted
    from .timing import Timing


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
    replaced if a learner is ready for promotion.  Members change one at a time
    (`GroupRepair`).

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
        self._repair = GroupRepair(replica=self.replica, voters=voters, log=self._log)

    def set_addresses(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses at which to look for the group."""
        self._search.set_configured(addresses)

    def set_contacts(self, addresses: tuple[str, ...]) -> None:
        """Set further control nodes that are known, to be asked for the group."""
        self._search.set_contacts(addresses)

    def others(self) -> tuple[str, ...]:
        """Return the addresses of the other members that the log names."""
        return tuple(m.address for m in self.replica.others())

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
        return self._repair.heard_voters(now)

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
            effects += self._repair.repair(now, time_ms)
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
        known = [*self.others()]
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
            effects += self._repair.admit(sender, probe, now, time_ms)
        elif sender == probe.address:
            effects += self._pass_on(probe)
        return effects

    def _pass_on(self, probe: Probe) -> list[Effect]:
        """Pass a probe on to the leader, or to all members if it is not known.

        The prober knows the configured addresses; the leader may be at another.
        """
        leader = self.replica.leader
        addresses = (leader,) if leader else self.others()
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
