"""Which requests may be sent to another replica, and the retry budget for it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..admission.retry_budget import RetryBudget
from ..routes.repetition import Repetition

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.retry_budget import RetryBudgetLimits
    from .crashes import Crashes
    from .work import Work


class Retries:
    """Decides on retries; each service has a retry budget of its own.

    `known_entries` returns how many entries share the budget's slack.
    """

    def __init__(
        self,
        *,
        limits: RetryBudgetLimits,
        known_entries: Callable[[], int],
        crashes: Crashes,
    ) -> None:
        self._limits = limits
        self._known_entries = known_entries
        self._crashes = crashes
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, work: Work) -> None:
        """Count a request of a caller, of which a part adds to the budget."""
        self._budget(work).request(work.started_at)

    def may_repeat(self, work: Work, *, delivered: bool, now: float) -> bool:
        """Return whether a request that may have run can be sent once more.

        `delivered` tells whether its caller has received a part of an answer.
        """
        route = work.admitted.route
        if not route.may_repeat or work.sends >= route.max_targets:
            return False
        if self._crashes.is_quarantined(work, now):
            return False
        return may_resume(work) or not delivered

    def has_budget(self, work: Work) -> bool:
        """Return whether the budget allows a retry now."""
        return self._budget(work).allows(time.monotonic(), self._known_entries())

    def take_budget(self, work: Work) -> bool:
        """Charge a retry to the budget; return False if it is used up."""
        return self._budget(work).take(time.monotonic(), self._known_entries())

    def _budget(self, work: Work) -> RetryBudget:
        service = work.admitted.service
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(limits=self._limits)
            self._budgets[service] = budget
        return budget


def may_resume(work: Work) -> bool:
    """Return whether another target can resume a stream after its last event.

    None can if the caller has events without a number.
    """
    if work.has_unnumbered_events:
        return False
    return work.admitted.route.repetition is Repetition.RESUMABLE
