"""Messages about replicas' announcements and about nodes."""

from __future__ import annotations

from .base import Message, independent_items, message
from .rollouts import RolloutNotice

# A lifetime that has not announced itself to a node for this long is over.
UNHEARD_MS = 1_000_000_000


@message
class ReplicaRecord(Message):
    """The last announcement of one lifetime (process run) of a replica.

    `born_ms` is the wall-clock time of its start.  `sequence` increases with
    each announcement of a lifetime.  `state` is a `ReplicaState` value.
    `software_version` is empty if it is not known, as from older nodes.
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
    software_version: str = ''


@message
class Follow(Message):
    """Asks a control node for changes since the follower's last update.

    `feed` and `since` identify the last change that the follower has received
    from this control node's change feed, zero if none.  `version` is the
    version of the configuration that it holds.  `is_entry` is true for a node
    that serves callers.  A newer configuration is sent only if `wants_content`
    is true: each node fetches it from a single control node.  The reply has the same
    call number, and states when the lifetimes of the replicas in `asked` announced
    themselves last.  Older nodes reply without either.
    """

    version: int
    feed: int
    since: int
    is_entry: bool
    wants_content: bool = True
    asked: tuple[str, ...] = ()


@message
class HeardLifetime(Message):
    """What a control node knows of the times of a lifetime of a replica.

    `age_ms` is an upper bound of the time since it announced itself last to the
    sender, `UNHEARD_MS` if it has announced itself to others only.  `known_ms` is a
    lower bound of the time since its first announcement, to whichever node.  The
    sender has learned of no announcement of the replica, whatever its lifetime, for
    `quiet_ms`.  `has_left` tells that the lifetime itself has said that it is over.
    """

    replica: str
    born_ms: int
    age_ms: int
    known_ms: int = 0
    quiet_ms: int = 0
    has_left: bool = False


@message
class EstablishedVersion(Message):
    """A version of a service that more than half of the control nodes know."""

    service: str
    software_version: str


@message
class News(Message):
    """Changes since the last change that a follower received.

    `content` is the configuration with version `version`, or empty if the
    follower has it or did not ask for it.  `controls` holds the addresses of the
    control nodes, and `entries` the number of entries, from which messages
    arrived recently.  `silent` names the replicas that have not sent an
    announcement recently.  The sender's directory goes back for `directory_age_ms`.
    `records` holds all changes from `first_change` to `change`, both inclusive; it is
    0 from older nodes, which do not say where their news begin.  `heard` tells what
    is known of the replicas that the follower asked for, and `rollouts` are those in
    force, active or not.  `members` holds the addresses of other control nodes that
    the sender's log names, but from which no message arrived recently.  `established`
    is sent to a follower that has received nothing yet.
    """

    feed: int
    change: int
    version: int
    content: bytes
    records: tuple[ReplicaRecord, ...] = independent_items()
    controls: tuple[str, ...]
    entries: int
    silent: tuple[str, ...] = independent_items()
    directory_age_ms: int = 0
    first_change: int = 0
    heard: tuple[HeardLifetime, ...] = independent_items(factory=tuple)
    rollouts: tuple[RolloutNotice, ...] = independent_items(factory=tuple)
    members: tuple[str, ...] = ()
    established: tuple[EstablishedVersion, ...] = independent_items(factory=tuple)


@message
class Announcements(Message):
    """Announcements that a control node received and forwards to the others."""

    records: tuple[ReplicaRecord, ...] = independent_items()
