"""Durable state that a replica loads from its data folder at startup."""

from __future__ import annotations

import attrs

from ..messages.replication import Entry, Member


@attrs.define(kw_only=True, frozen=True)
class Persisted:
    """Recovered durable state; `member` is the data folder's permanent identity."""

    member: str
    term: int = 0
    voted_for: str = ''
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_members: tuple[Member, ...] = ()
    snapshot: bytes = b''
    entries: tuple[Entry, ...] = ()
