"""A planned fault, and a fault as it took place."""

from __future__ import annotations

import math

import attrs

from .fault_kind import FaultKind


@attrs.define(kw_only=True, frozen=True)
class Fault:
    """A fault at `at_s` seconds after the plan's start, for `for_s` seconds.

    `target` names a program, a link (`link-` and the name of what it leads to), a
    replica, a service or, for the configuration, nothing.
    """

    kind: FaultKind
    target: str
    at_s: float
    for_s: float

    def __str__(self) -> str:
        return f'{self.at_s:7.2f} s  {self.kind} {self.target} for {self.for_s:.2f} s'


@attrs.define(kw_only=True)
class FaultRecord:
    """A fault that began at `began_at` and ended at `ended_at`, monotonic seconds."""

    kind: FaultKind
    target: str
    began_at: float
    ended_at: float = math.inf

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether the fault was in effect between two moments."""
        return self.began_at <= until and self.ended_at >= since
