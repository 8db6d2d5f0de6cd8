"""Messages of the replicated log."""

from __future__ import annotations

from .base import Message, message


@message
class Member(Message):
    """A member of the group; its identity belongs to one data folder.

    A `diskless` member loses its folder when its process ends, so it never votes.
    """

    member: str
    address: str
    voter: bool = True
    diskless: bool = False


@message
class Entry(Message):
    """One record of the log; `command` is an encoded envelope.

    `kind` is an `EntryKind` value.  `time_ms` is the wall-clock time of the
    leader that created the record.
    """

    index: int
    term: int
    kind: str
    time_ms: int
    command: bytes = b''
    members: tuple[Member, ...] = ()


@message
class VoteRequest(Message):
    """Asks for a vote, or with `pre` whether one would be granted (pre-vote)."""

    member: str
    term: int
    pre: bool
    last_index: int
    last_term: int


@message
class VoteReply(Message):
    """Reply to a VoteRequest."""

    member: str
    term: int
    pre: bool
    granted: bool


@message
class Append(Message):
    """Log records that follow `previous_index`, and the leader's commit index.

    `to_member` identifies the data folder that the message is for: a new folder
    at the same address must not answer for a lost one.
    """

    to_member: str
    term: int
    round: int
    previous_index: int
    previous_term: int
    commit: int
    entries: tuple[Entry, ...]


@message
class AppendReply(Message):
    """Reply to an Append; `match` is the last index known to match the leader's."""

    member: str
    term: int
    round: int
    success: bool
    match: int


@message
class InstallSnapshot(Message):
    """One part of a snapshot, starting at the byte `offset`."""

    to_member: str
    term: int
    round: int
    index: int
    index_term: int
    members: tuple[Member, ...]
    offset: int
    total: int
    data: bytes


@message
class SnapshotReply(Message):
    """Reply to an InstallSnapshot; the follower holds `offset` bytes."""

    member: str
    term: int
    round: int
    index: int
    offset: int


@message
class AppendPart(Message):
    """One part of the command of a large record, starting at the byte `offset`.

    The other fields are those of an `Append` and of its record.  Without `data` it
    is a heartbeat.
    """

    to_member: str
    term: int
    round: int
    previous_term: int
    commit: int
    index: int
    entry_term: int
    kind: str
    time_ms: int
    offset: int
    total: int
    data: bytes


@message
class AppendPartReply(Message):
    """Reply to an AppendPart; the follower holds `offset` bytes."""

    member: str
    term: int
    round: int
    index: int
    offset: int


@message
class Probe(Message):
    """Announces a member that looks for its group."""

    member: str
    address: str
    diskless: bool = False


@message
class ProbeReply(Message):
    """Reply to a Probe; `blank` is true if the sender's log is empty.

    `forms` tells whether it may form the first group, as it runs since the system
    was first started; it is false from older nodes.
    """

    member: str
    address: str
    blank: bool
    diskless: bool = False
    forms: bool = False


@message
class Form(Message):
    """Instructs members with empty logs to form the first group."""

    members: tuple[Member, ...]


@message
class NotLeader(Message):
    """Refuses a command; `leader` is the leader's address, or empty if unknown."""

    leader: str


GROUP_MESSAGES = (
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
    AppendPart,
    AppendPartReply,
    Probe,
    ProbeReply,
    Form,
)
