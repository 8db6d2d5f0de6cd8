"""Why a gate denies a place."""

from __future__ import annotations

import enum


class DenialCause(enum.StrEnum):
    """The time that a request would exceed, or has exceeded while it waited.

    Patience is the time until which the caller waits for a first event.
    """

    PATIENCE = 'patience'
    DEADLINE = 'deadline'
    EXPIRED = 'expired'
