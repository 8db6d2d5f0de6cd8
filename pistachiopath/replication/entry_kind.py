"""Kinds of log records."""

from __future__ import annotations

import enum


class EntryKind(enum.StrEnum):
    """What a log record holds."""

    COMMAND = 'command'
    NOOP = 'noop'
    MEMBERS = 'members'
