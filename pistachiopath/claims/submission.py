"""A request as it was submitted to an entry."""

from __future__ import annotations

import attrs

from ..messages.dispatch import Work


@attrs.define(kw_only=True, frozen=True)
class Submission:
    """One submission of a request; times are seconds of the entry's clock.

    `named` tells that the caller chose the id, so that the same request may
    be on its way through another entry.  `prefix` holds the chained hashes of
    the leading chunks of the prompt.
    """

    key: bytes
    fingerprint: bytes
    attempt: bytes
    named: bool
    work: Work
    submitted_at: float
    deadline: float
    dated_ms: int = 0
    prefix: tuple[int, ...] = ()
