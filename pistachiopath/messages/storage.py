"""Records of the files in a data folder."""

from __future__ import annotations

from .base import Message, message
from .replication import Member


@message
class StoredVote(Message):
    """The current term of a replica and its vote in that term."""

    term: int
    voted_for: str


@message
class SnapshotHead(Message):
    """Last log record that a snapshot covers, and the members at that point."""

    index: int
    term: int
    members: tuple[Member, ...]
