"""How long requests wait for what an entry does not know yet after its start."""

from __future__ import annotations

# Callers abandon a stream after 2 s without an event at the earliest.  Before the
# configuration is known, an entry can't tell a stream; 0.5 s remain to serve it.
FIRST_CONFIGURATION_WAIT_S = 1.5
# Share of its caller's deadline for which a request waits for the configuration.
DEADLINE_SHARE = 0.75
# Share of its objective for which a request waits for an allowance that a lender has
# no more of, so that it can still be on time.
ALLOWANCE_OBJECTIVE_SHARE = 0.5
# How often the lender is asked again.
BORROW_INTERVAL_S = 0.1
# Bounds the memory and connections that waiting requests hold.
MAX_WAITING = 400


def configuration_wait_s(deadline_s: float | None) -> float:
    """Return how long a request waits for the first configuration.

    >>> configuration_wait_s(None), configuration_wait_s(1.0)
    (1.5, 0.75)
    """
    if deadline_s is None:
        return FIRST_CONFIGURATION_WAIT_S
    return min(FIRST_CONFIGURATION_WAIT_S, DEADLINE_SHARE * deadline_s)


def allowance_wait_s(
    deadline_s: float | None, objective_s: float, *, is_leased: bool
) -> float:
    """Return how long a request waits after a start for its customer's allowance.

    Until a lender has answered for the first time, nothing is known of the allowance.

    >>> allowance_wait_s(None, 0.5, is_leased=True)
    0.25
    >>> allowance_wait_s(None, 0.5, is_leased=False)
    1.5
    """
    if is_leased:
        return ALLOWANCE_OBJECTIVE_SHARE * objective_s
    return configuration_wait_s(deadline_s)


def replica_wait_s(patience_s: float, objective_s: float) -> float:
    """Return how long a request waits for the first replica of its service.

    An objective's time is left to serve it before its caller leaves.

    >>> replica_wait_s(2.5, 0.5), replica_wait_s(0.25, 0.5)
    (2.0, 0.0)
    """
    return max(0.0, patience_s - objective_s)
