"""A node that reports what its customers use."""

from __future__ import annotations

import attrs

from .recent_rate import RecentRate


@attrs.define(kw_only=True)
class Reporter:
    """An entry or another lender, and the totals that it last told.

    Where `is_complete`, a customer without totals had none when it was first
    heard; otherwise nothing is known of what came before.
    """

    heard_at: float
    session: int
    entries: int = 1
    heard: int = 1
    known: int = 1
    is_complete: bool = False
    totals: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    demand: dict[str, RecentRate] = attrs.field(factory=dict)
