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
    offset: int
