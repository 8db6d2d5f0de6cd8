"""Messages about replicas that announce themselves, and about nodes."""

from __future__ import annotations

from .base import Message, message


@message
class ReplicaRecord(Message):
    """One lifetime of a replica as it last announced itself.

    `born_ms` is the wall clock of its start; `sequence` grows with each
    announcement of a lifetime.  `state` is a `ReplicaState` value.
    """

    replica: str
    born_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_ms: int = 0


@message
class Follow(Message):
    """Asks a control node for what is new, and tells what is held.

    `feed` and `since` name the last change known of the control node's feed,
    zero for nothing; `version` is the configuration held.  `is_entry` is true
    for a node that serves callers.  A newer configuration is sent only where
    `wants_content` is true: each node takes it from one control node.
    """

    version: int
    feed: int
    since: int
    is_entry: bool
    wants_content: bool = True


@message
class News(Message):
    """What is new since a follower's last change.

    `content` is the configuration of `version`, empty where the follower has
    it or does not want it from here.  `controls` are the addresses of control
    nodes heard lately, `entries` is how many entries were.  `silent` names the
    replicas that have announced nothing lately.
    """

    feed: int
    change: int
    version: int
    content: bytes
    records: tuple[ReplicaRecord, ...]
    controls: tuple[str, ...]
    entries: int
    silent: tuple[str, ...]


@message
class Announcements(Message):
    """Announcements that a control node took in, for the other ones."""

    records: tuple[ReplicaRecord, ...]
