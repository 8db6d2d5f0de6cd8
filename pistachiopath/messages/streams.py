"""Messages about the software versions that began streams."""

from __future__ import annotations

from .base import Message, message


@message
class StreamOrigin(Message):
    """The version of a service that began a stream, as known for `age_ms`.

    `attempt` and `is_confirmed` tell which of two origins counts.  One that is not
    confirmed is what an entry took its replica for: the lifetime `born_ms` of
    `replica`, which was granted a place `granted_ms` ago at most.

    With an `address`, the process that ran there brought the first event, and its
    version is not known.  It has run at least from `opened_ms` ago until `alive_ms`
    ago, as a connection of the sender shows.
    """

    stream: str
    service: str
    software_version: str
    attempt: int
    is_confirmed: bool
    age_ms: int
    replica: str = ''
    born_ms: int = 0
    granted_ms: int = 0
    address: str = ''
    opened_ms: int = 0
    alive_ms: int = 0


@message
class StreamNotes(Message):
    """Streams that a version of a service began, for a holder outside the entry.

    `digests` holds the digests of their names, one after the other.
    """

    service: str
    software_version: str
    digests: bytes


@message
class ProcessNotes(Message):
    """Streams that a process of a replica began whose version is not proven yet.

    The process at `address` has run for `ran_ms` at least.  `witness` is a connection
    of the holder that leads to it.  Without one, the holder is asked to open one and to
    reply with a `WitnessedProcess`.
    """

    service: str
    replica: str
    address: str
    ran_ms: int
    witness: int = 0
    digests: bytes = b''


@message
class WitnessedProcess(Message):
    """A connection of a control node to the process at an address.

    It was opened between `opened_ms` and one more ago.
    """

    address: str
    witness: int
    opened_ms: int


@message
class StreamOrigins(Message):
    """The origins that a node knows of the streams that a `WatchLoad` names.

    It is sent with the call of the question, also if it holds nothing.  A control node
    replies to `ProcessNotes` without a witness with what is `witnessed` alone.
    """

    origins: tuple[StreamOrigin, ...]
    witnessed: tuple[WitnessedProcess, ...] = ()
