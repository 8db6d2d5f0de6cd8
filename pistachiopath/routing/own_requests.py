"""Requests of an entry at one replica."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class OwnRequests:
    """Requests of this entry at a replica.

    `recent` holds the time and estimated engine time in ms of those that load
    reports may not show yet.
    """

    outstanding: int = 0
    recent: list[tuple[float, float]] = attrs.field(factory=list)
