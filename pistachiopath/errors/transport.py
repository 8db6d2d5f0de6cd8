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
