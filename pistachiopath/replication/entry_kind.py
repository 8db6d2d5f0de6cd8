"""Kinds of log records."""

from __future__ import annotations

import enum


class EntryKind(enum.StrEnum):
    """Kind of a log record, which determines the fields that it uses."""

    COMMAND = 'command'
    NOOP = 'noop'
    MEMBERS = 'members'
