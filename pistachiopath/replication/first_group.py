"""Formation of the first group, once in the life of a system."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.replication import Member

if TYPE_CHECKING:
    from ..messages.replication import ProbeReply

REPLY_MAX_AGE_S = 1.0


class FirstGroup:
    """Decides whether a member with an empty log forms the first group, and with whom.

    The addresses that were configured at the first start are the same for all
    members, and they stay as they are: the group forms only when each of them replies
    that its folder is empty too.  Addresses configured later may all be of blank nodes
    beside a living group.  Of the members that may form the group, the one with the
    lowest address does.  A reply of a member with a log, wherever it is, speaks
    against it.  `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, address: str, addresses: tuple[str, ...], may_form: bool
    ) -> None:
        self._address = address
        self._others = tuple(a for a in addresses if a != address)
        self.can_form = may_form and address in addresses
        self._replies: dict[str, tuple[float, ProbeReply]] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the others whose replies this member needs to form the group."""
        return self._others if self.can_form else ()

    @property
    def is_alone(self) -> bool:
        """Tell whether this member forms the group without asking anybody."""
        return self.can_form and not self._others

    def note(self, reply: ProbeReply, now: float) -> None:
        """Keep a reply; old ones are forgotten."""
        self._replies[reply.address] = (now, reply)
        self._replies = {
            address: (at, kept)
            for address, (at, kept) in self._replies.items()
            if now - at < REPLY_MAX_AGE_S
        }

    def replies(self, now: float) -> list[ProbeReply]:
        """Return the replies of the last `REPLY_MAX_AGE_S`."""
        return [r for at, r in self._replies.values() if now - at < REPLY_MAX_AGE_S]

    def others(self, now: float) -> tuple[Member, ...]:
        """Return whom to form the group with now; empty if it must not form."""
        replies = {reply.address: reply for reply in self.replies(now)}
        has_all = all(address in replies for address in self._others)
        is_all_blank = all(reply.blank for reply in replies.values())
        if not (self.can_form and has_all and is_all_blank):
            return ()
        chosen = [replies[address] for address in self._others]
        if any(r.forms and r.address < self._address for r in chosen):
            return ()
        return tuple(_member_of(reply) for reply in chosen)


def _member_of(reply: ProbeReply) -> Member:
    """Return the first group's member for a folder that is known to be empty."""
    return Member(
        member=reply.member,
        address=reply.address,
        voter=not reply.diskless,
        diskless=reply.diskless,
    )
