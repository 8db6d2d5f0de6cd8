"""Kinds of requests that callers send."""

from __future__ import annotations

import enum


class RequestKind(enum.Enum):
    """A kind with the path prefix of its route and whether it may be repeated."""

    RESUMABLE_STREAM = ('/drafts/', True, True)
    ONCE_STREAM = ('/notices/', False, True)
    SAFE = ('/lookups/', True, False)
    UNSAFE = ('/alerts/', False, False)
    # This route moves from one service to the other with each configuration.
    MOVED = ('/moved/', True, False)
    # The route exists only in some configurations.
    EXTRA = ('/extra-', True, False)

    def __init__(self, prefix: str, may_repeat: bool, is_stream: bool) -> None:
        self.prefix = prefix
        self.may_repeat = may_repeat
        self.is_stream = is_stream


STREAM_PREFIXES = tuple(kind.prefix for kind in RequestKind if kind.is_stream)
