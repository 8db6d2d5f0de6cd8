"""Whether requests of a route may be run again."""

from __future__ import annotations

import enum


class Repetition(enum.StrEnum):
    """Whether a request may run more than once.

    - IDEMPOTENT: it may be run again.
    - ONCE: it runs at most once for each attempt of the caller.
    - RESUMABLE: a stream may be resumed on another target after the last event.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    RESUMABLE = 'resumable'
