"""Whom a member without a leader asks for its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Contacts asked at a time, so that many members that search at once don't flood the
# leader: each member that is asked passes the question on to it.
CONTACTS_ASKED = 4


class GroupSearch:
    """Addresses at which a member looks for its group.

    It asks its configured addresses, the members in its log, and the last node that
    addressed a former folder at its own address, which leads the group or did so.  Of
    its contacts, the other control nodes that it knows of, it asks `CONTACTS_ASKED`
    each time, in turn.  Configured addresses alone are not enough: all nodes there may
    have lost their logs.

    An address that is asked needs no trust.  Only the leader of a group takes a member
    in, and no reply lets a member form a group of its own but those of the configured
    addresses.

    >>> search = GroupSearch(own_address='c1:1')
    >>> search.set_configured(('c1:1', 'c2:1'))
    >>> search.set_contacts(('c3:1',))
    >>> search.next_addresses(members=())
    ['c2:1', 'c3:1']
    """

    def __init__(self, *, own_address: str) -> None:
        self._own_address = own_address
        self.configured: tuple[str, ...] = ()
        self._contacts: tuple[str, ...] = ()
        self._asked_contacts = 0
        self._leader_hint = ''

    def set_configured(self, addresses: Iterable[str]) -> None:
        """Set the configured addresses; the own one is left out."""
        self.configured = tuple(a for a in addresses if a != self._own_address)

    def set_contacts(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the other control nodes that are known."""
        self._contacts = tuple(addresses)

    def note_leader(self, address: str) -> bool:
        """Keep the address of a node that acts as the leader; tell if it is news."""
        is_news = address != self._leader_hint
        self._leader_hint = address
        return is_news

    def next_addresses(self, members: Iterable[str]) -> list[str]:
        """Return whom to ask now, in order, those of `members` each time."""
        always = {*self.configured, *members}
        if self._leader_hint:
            always.add(self._leader_hint)
        others = [c for c in self._contacts if c not in always]
        first = self._asked_contacts % max(1, len(others))
        chosen = (others[first:] + others[:first])[:CONTACTS_ASKED]
        self._asked_contacts += len(chosen)
        return sorted({*always, *chosen} - {self._own_address})
