"""How many streams begin, and go on after a return, while their version serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .documents import METERED_CUSTOMER
from .request_kind import RequestKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .attempt import Attempt
    from .history import History

# So many replicas of a version make it one that serves.
MIN_REPLICAS = 2


@attrs.define(kw_only=True, frozen=True)
class Share:
    """How many of some attempts brought an event."""

    brought: int
    of: int

    @classmethod
    def of_attempts(cls, attempts: Iterable[Attempt]) -> Share:
        """Count the attempts that brought an event."""
        brought = [bool(attempt.events) for attempt in attempts]
        return cls(brought=sum(brought), of=len(brought))

    def __str__(self) -> str:
        share = f' ({self.brought / self.of:.2f})' if self.of else ''
        return f'{self.brought} of {self.of}{share}'


@attrs.define(kw_only=True, frozen=True)
class StreamShares:
    """New streams that begin, and returns that go on.

    Returns count while two replicas of the version that began the stream serve, and
    new streams while two replicas of any one version do.
    """

    new: Share
    returns: Share

    @classmethod
    def of_history(cls, history: History, *, is_calm: bool = False) -> StreamShares:
        """Count all streams, or with `is_calm` those at undisturbed entries."""
        began_by: dict[str, str] = {}
        new, returns = [], []
        for attempt in history.attempts:
            version = began_by.get(attempt.root, '')
            if attempt.events:
                began_by.setdefault(
                    attempt.root or attempt.request, attempt.events[0].version
                )
            if not _counts(history, attempt, is_calm=is_calm):
                continue
            serving = history.versions_served(attempt.began_at, MIN_REPLICAS)
            if not attempt.root and serving:
                new.append(attempt)
            elif version in serving:
                returns.append(attempt)
        return cls(new=Share.of_attempts(new), returns=Share.of_attempts(returns))


def _counts(history: History, attempt: Attempt, *, is_calm: bool) -> bool:
    """Return whether an attempt asks for a stream, within its allowance."""
    if attempt.kind is not RequestKind.RESUMABLE_STREAM:
        return False
    if attempt.customer == METERED_CUSTOMER:
        return False
    return not is_calm or history.is_entry_calm(
        attempt.entry, attempt.began_at, attempt.ended_at
    )
