"""Checks of a soak's history.

Each check is a function that yields what it finds wrong; its name is the name of the
check.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .answers import answered, ended_early, one_version, whole_answers
from .budgets import allowance_kept, retry_budget_kept
from .configuration import (
    configuration_in_force,
    configuration_kept,
    control_nodes_serve,
)
from .gone import gone_callers
from .left_alone import backoff_kept, departure_kept, notice_kept
from .requests import at_most_once, truthful_refusals, unchanged_requests
from .service import level_resources, no_own_ends, no_uncaught_errors, recovery

if TYPE_CHECKING:
    from ..history import History
    from .violation import Violation

CHECKS = (
    at_most_once,
    truthful_refusals,
    unchanged_requests,
    whole_answers,
    one_version,
    answered,
    ended_early,
    departure_kept,
    notice_kept,
    backoff_kept,
    gone_callers,
    allowance_kept,
    retry_budget_kept,
    configuration_kept,
    configuration_in_force,
    control_nodes_serve,
    recovery,
    level_resources,
    no_own_ends,
    no_uncaught_errors,
)


def violations(history: History) -> list[Violation]:
    """Return what all checks find, in the order of time.

    Of several that a check finds about one request, the first is returned.
    """
    found: dict[tuple[str, str], Violation] = {}
    for check in CHECKS:
        for violation in sorted(check(history), key=lambda v: v.at):
            subject = violation.request or violation.text
            named = attrs.evolve(violation, check=check.__name__)
            found.setdefault((named.check, subject), named)
    return sorted(found.values(), key=lambda v: v.at)
