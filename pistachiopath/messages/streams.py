"""Messages about the software versions that began streams."""

from __future__ import annotations

from .base import Message, message


@message
class StreamOrigin(Message):
    """The version of a service that began a stream, as known for `age_ms`.

    `attempt` and `is_confirmed` tell which of two origins counts.  One that is not
    confirmed is what an entry took its replica for: the lifetime `born_ms` of
    `replica`, which was granted a place `granted_ms` ago at most.
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


@message
class StreamNotes(Message):
    """Streams that a version of a service began, for a holder outside the entry.

    `digests` holds the digests of their names, one after the other.
    """

    service: str
    software_version: str
    digests: bytes


@message
class StreamOrigins(Message):
    """The origins that a node knows of the streams that a `WatchLoad` names.

    It is sent with the call of the question, also if it holds nothing.
    """

    origins: tuple[StreamOrigin, ...]
