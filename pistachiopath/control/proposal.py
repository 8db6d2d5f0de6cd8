"""Command that this replica proposed as the leader."""

from __future__ import annotations

import attrs

from ..messages.base import Message


@attrs.define(kw_only=True, frozen=True)
class Proposal:
    """Command with the sender and call that its reply goes to.

    `sender` is empty if the replica itself issued the command.  The record that
    is committed at the proposed index holds this command only if its term is
    `term`.
    """

    sender: str
    call: int
    term: int
    cmd: Message
