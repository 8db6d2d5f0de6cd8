"""Roles of a replica."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
