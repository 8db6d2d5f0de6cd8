"""Conditions of an experiment."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Condition:
    """Load factors and faults of a run; times in seconds.

    `killed`, `straggler`, `departed` and `emptied` (its prefix cache is lost)
    each name a target; an empty name means no such fault.
    """

    name: str
    scale: float = 1.0
    burst: float = 1.0
    straggler: str = ''
    killed: str = ''
    departed: str = ''
    emptied: str = ''
    report_lag_s: float = 0.2
