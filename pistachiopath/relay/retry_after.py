"""When callers that are refused should come back."""

from __future__ import annotations

# Callers retry within a third of their remaining time, so a refused caller is
# asked to retry before that.
RETRY_AFTER_DIVISOR = 3.1


def retry_after_s(wait_s: float, remaining_s: float) -> float:
    """Return the seconds after which a caller should retry.

    They are `wait_s`, or less if the caller has only `remaining_s` seconds left:
    a later attempt can then still be in time.

    >>> retry_after_s(0.5, 10.0)
    0.5
    >>> retry_after_s(5.0, 6.2)
    2.0
    """
    return min(wait_s, remaining_s / RETRY_AFTER_DIVISOR)
