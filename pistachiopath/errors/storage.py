"""Failures of the data folder."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class StorageFailed(PistachiopathError):
    """The disk refused an operation; nothing after it is durable."""

    operation: str
    reason: str


@dataclass(kw_only=True)
class CorruptFile(PistachiopathError):
    """A file holds bytes that a torn write at its end does not explain."""

    file: str
    offset: int
