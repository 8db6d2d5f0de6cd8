"""A request as submitted to an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.claims import Bind
from ..messages.dispatch import Work

if TYPE_CHECKING:
    from ..routing.chooser import Choice


@attrs.define(kw_only=True, frozen=True)
class Submission:
    """One submission of a request; times are seconds of the entry's clock.

    `named` is true if the caller chose the id, so that another entry may be
    handling the same request.  `prefix` holds the chained hashes of the
    leading chunks of the prompt.
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

    def bind(self, choice: Choice, after_refusal: int) -> Bind:
        """Return the command that binds the request to a chosen target.

        If this is a new attempt after a refusal, `after_refusal` is the log
        index of that refusal, else 0.
        """
        return Bind(
            key=self.key,
            fingerprint=self.fingerprint,
            attempt=self.attempt,
            target=choice.target,
            incarnation=choice.incarnation,
            address=choice.address,
            once=self.work.once,
            dated_ms=self.dated_ms,
            after_refusal=after_refusal,
        )
