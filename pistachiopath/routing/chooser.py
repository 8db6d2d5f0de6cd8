"""Interface of the parts that choose a target for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from ..claims.submission import Submission


@attrs.define(kw_only=True, frozen=True)
class Choice:
    """The target incarnation that a request should be bound to."""

    target: str
    incarnation: int
    address: str


@attrs.define(kw_only=True, frozen=True)
class NoTarget:
    """No target can accept the request now."""

    reason: str
    retry_after_ms: int


class Chooser(Protocol):
    """Chooses targets; implementations keep their own estimates."""

    def choose(
        self, submission: Submission, excluded: frozenset[str], now: float
    ) -> Choice | NoTarget:
        """Return the target for a request, or why there is none."""

    def retry_after_ms(self) -> int:
        """Return the delay, with jitter, after which a refused caller should retry."""

    def ended(self, submission: Submission) -> None:
        """Stop counting a submission as outstanding at its chosen target."""
