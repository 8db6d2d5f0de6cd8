"""Effects that a replica returns; its shell carries them out in order."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from ..effects import Send
from ..messages.replication import Entry, Member


@attrs.define(kw_only=True, frozen=True)
class SaveVote:
    """Store the current term and the vote given in it."""

    term: int
    voted_for: str


@attrs.define(kw_only=True, frozen=True)
class AppendEntries:
    """Append records to the stored log."""

    entries: tuple[Entry, ...]


@attrs.define(kw_only=True, frozen=True)
class TruncateFrom:
    """Delete the stored records from this index on."""

    index: int


@attrs.define(kw_only=True, frozen=True)
class WriteSnapshotPart:
    """Store a part of a snapshot that `SaveSnapshot` will complete.

    Parts have no effect before that.  A part at offset 0 starts a new snapshot.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    offset: int
    data: bytes


@attrs.define(kw_only=True, frozen=True)
class SaveSnapshot:
    """Store a snapshot and delete the records that it covers.

    With `replaces_log` the records behind it are deleted too: they do not follow
    it.  If all parts of the snapshot are stored already, they need not be written
    again.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes | bytearray
    replaces_log: bool = False


@attrs.define(kw_only=True, frozen=True)
class Apply:
    """Apply a committed record to the state."""

    entry: Entry


@attrs.define(kw_only=True, frozen=True)
class RestoreState:
    """Replace the whole state with a snapshot."""

    index: int
    data: bytes


StorageEffect: TypeAlias = (
    SaveVote | AppendEntries | TruncateFrom | WriteSnapshotPart | SaveSnapshot
)
Effect: TypeAlias = Send | StorageEffect | Apply | RestoreState
STORAGE_EFFECTS = (
    SaveVote,
    AppendEntries,
    TruncateFrom,
    WriteSnapshotPart,
    SaveSnapshot,
)
