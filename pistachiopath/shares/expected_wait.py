"""Expected wait for a place at a gate whose order is by tier and share."""

from __future__ import annotations

# More urgent requests leave at least this part of the engine, in estimates: they do
# not all go ahead until the request is served.  With 0.1, gates denied nearly twice as
# many requests of the second tier in a simulated burst (docs/design/shares.md).
MIN_LEFT_SHARE = 0.3


def expected_wait_ms(
    *,
    free_in_ms: float,
    ahead_ms: float,
    ahead_in_tier_ms: float,
    urgent_share: float,
    minimum_share: float,
) -> float:
    """Return the wait of a request in milliseconds.

    `ahead_ms` is the time in which the engine does the work of all requests ahead and
    `ahead_in_tier_ms` of those of the same tier.  Requests that arrive meanwhile and
    go ahead take `urgent_share` of the engine, but leave the tier `minimum_share`.

    >>> times = {'free_in_ms': 100.0, 'ahead_ms': 400.0, 'ahead_in_tier_ms': 100.0}
    >>> expected_wait_ms(**times, urgent_share=0.0, minimum_share=0.0)
    500.0
    >>> round(expected_wait_ms(**times, urgent_share=0.75, minimum_share=0.0), 1)
    1433.3
    >>> expected_wait_ms(**times, urgent_share=0.75, minimum_share=0.1)
    1100.0
    """
    left_share = max(MIN_LEFT_SHARE, 1.0 - urgent_share)
    wait_ms = ahead_ms / left_share
    if minimum_share > 0:
        wait_ms = min(wait_ms, ahead_in_tier_ms / minimum_share)
    return free_in_ms + wait_ms
