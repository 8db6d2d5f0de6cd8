"""What a replica finds in its data folder when it starts."""

from __future__ import annotations

import attrs

from ..messages.replication import Entry, Member


@attrs.define(kw_only=True, frozen=True)
class Persisted:
    """Recovered durable state; `member` names this data folder for ever."""

    member: str
    term: int = 0
    voted_for: str = ''
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_members: tuple[Member, ...] = ()
    snapshot: bytes = b''
    entries: tuple[Entry, ...] = ()
