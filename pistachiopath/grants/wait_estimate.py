"""Estimated wait of a request for a place, and what the estimate is based on."""

from __future__ import annotations

import attrs

# Lower bound for the grant rate in wait estimates: a tier without recent
# requests has a measured rate near zero.
MIN_GRANTS_PER_S = 0.7


@attrs.define(kw_only=True, frozen=True)
class WaitEstimate:
    """Estimated wait for a place.

    `ahead` requests of higher priority wait.  `by_work_ms` is the time until
    the engine has done their work, and `by_rate_ms` the time until the recent
    rate of grants of the tier, `grants_per_s`, has served those of the same
    tier; it is 0 where no rate was used.
    """

    ahead: int = 0
    by_work_ms: float = 0.0
    by_rate_ms: float = 0.0
    grants_per_s: float = 0.0

    @property
    def wait_ms(self) -> float:
        """The longer of the two waits."""
        return max(self.by_work_ms, self.by_rate_ms)


def wait_by_rate_ms(ahead: int, grants_per_s: float | None) -> float:
    """Estimate the wait behind others of the tier from its recent grant rate.

    The rate accounts for more urgent requests that will arrive meanwhile.  The
    estimate is 0 while the rate is unknown.  The most urgent tier has none ahead of
    it, so its wait is not estimated by rate.
    """
    if grants_per_s is None:
        return 0.0
    return ahead * 1000 / max(grants_per_s, MIN_GRANTS_PER_S)
