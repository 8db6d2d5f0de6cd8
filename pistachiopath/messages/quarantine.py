"""Messages about content that was running when replicas crashed."""

from __future__ import annotations

from .base import Message, message


@message
class CrashMark(Message):
    """Content that a replica was running when it crashed.

    `lifetime` identifies the replica and the start of its process.  The run was
    interrupted `age_ms` ago, `ran_ms` after it began.
    """

    fingerprint: bytes
    lifetime: str
    age_ms: int
    ran_ms: int


@message
class CrashMarks(Message):
    """Crash marks that one entry shares with the other entries.

    `cleared` holds the fingerprints of contents with earlier marks that have
    since run to completion.
    """

    marks: tuple[CrashMark, ...] = ()
    cleared: tuple[bytes, ...] = ()
