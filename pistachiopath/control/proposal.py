"""A command that this replica proposed as the leader."""

from __future__ import annotations

import attrs

from ..messages.base import Message


@attrs.define(kw_only=True, frozen=True)
class Proposal:
    """Who waits for the reply to a command, and the command itself.

    `sender` is empty for commands of the replica's own.  The command is that
    of the record at its index only if the record has the same term.
    """

    sender: str
    call: int
    term: int
    cmd: Message
