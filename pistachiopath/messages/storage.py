"""Records of the files in a data folder."""

from __future__ import annotations

from .base import Message, message
from .replication import Member


@message
class StoredVote(Message):
    """The term of a replica and its vote in it."""

    term: int
    voted_for: str


@message
class SnapshotHead(Message):
    """What a snapshot covers."""

    index: int
    term: int
    members: tuple[Member, ...]
