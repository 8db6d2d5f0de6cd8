"""Errors of frames, links and listening sockets."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class FrameTooLarge(PistachiopathError):
    """The announced size of a frame, in bytes, exceeds the limit."""

    size: int
    limit: int


@dataclass(kw_only=True)
class MalformedFrame(PistachiopathError):
    """A frame could not be decoded."""

    reason: str


@dataclass(kw_only=True)
class Unencodable(PistachiopathError):
    """A field of a message holds a value that the schema has no place for.

    `message` is the name of the message type, and `reason` that of the error.
    """

    message: str
    field: str
    reason: str


@dataclass(kw_only=True)
class LinkClosed(PistachiopathError):
    """The peer closed the link."""

    peer: str


@dataclass(kw_only=True)
class Unauthenticated(PistachiopathError):
    """The peer did not prove that it holds the shared secret."""

    peer: str


@dataclass(kw_only=True)
class ListenFailed(PistachiopathError):
    """A program can't listen on an address from its settings."""

    address: str
    reason: str
