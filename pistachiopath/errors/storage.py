"""Errors of the data folder."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class StorageFailed(PistachiopathError):
    """A disk operation failed; nothing written after it is durable."""

    operation: str
    reason: str


@dataclass(kw_only=True)
class CorruptFile(PistachiopathError):
    """A file is corrupt in a way that a torn write at its end can't explain."""

    file: str
    offset: int | None = None


@dataclass(kw_only=True)
class LogGap(CorruptFile):
    """A log file lacks the record `expected`, but holds a later one, `found`."""

    expected: int
    found: int


@dataclass(kw_only=True)
class RecordOutOfPlace(PistachiopathError):
    """A record to append does not follow the last one of the log file."""

    expected: int
    index: int
