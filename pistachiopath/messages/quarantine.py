"""Messages about content that was running when replicas crashed."""

from __future__ import annotations

from .base import Message, independent_items, message


@message
class CrashMark(Message):
    """Content that a replica was running when it crashed.

    `fingerprint` is the key of the content: a whole request where `depth` is 0,
    else the part of a prompt at that position.  `lifetime` identifies the replica
    and the start of its process.  The run was interrupted `age_ms` ago, `ran_ms`
    after it began.
    """

    fingerprint: bytes
    lifetime: str
    age_ms: int
    ran_ms: int
    depth: int = 0


@message
class ContentProof(Message):
    """Content that ran well `age_ms` ago, before it was in a crash."""

    key: bytes
    age_ms: int


@message
class ContentTrial(Message):
    """A node began to try a content in quarantine, `age_ms` ago.

    `number` counts the trials of a content from 1 on.
    """

    key: bytes
    number: int
    age_ms: int


@message
class CrashMarks(Message):
    """Crash marks that one entry shares with the other entries.

    `cleared` holds the keys of contents with earlier marks that have since run
    well, `proofs` those that ran well before their marks, and `trials` the last
    trials of contents in quarantine.
    """

    marks: tuple[CrashMark, ...] = independent_items(default=())
    cleared: tuple[bytes, ...] = independent_items(default=())
    proofs: tuple[ContentProof, ...] = independent_items(default=())
    trials: tuple[ContentTrial, ...] = independent_items(default=())
