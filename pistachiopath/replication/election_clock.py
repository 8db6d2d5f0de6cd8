"""Election timeouts of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .timing import Timing

# Members that stopped together restart within one or two seconds.  A member that
# restarts alone must not keep requesting votes at the first elections' rate.
MAX_FIRST_ELECTIONS = 20
# A wide range makes it unlikely that two members request votes at the same time.
FIRST_ELECTION_MIN_RATIO = 0.25


class ElectionClock:
    """Draws the timeouts after which a replica starts an election, in seconds.

    After a start the first timeouts are short until a leader is known, because
    the first elections fail while the other members are still restarting.
    """

    def __init__(self, *, timing: Timing, rng: random.Random) -> None:
        self._timing = timing
        self._rng = rng
        self._first_elections_left = (
            0 if timing.first_election_max_s is None else MAX_FIRST_ELECTIONS
        )

    @property
    def has_short_timeouts(self) -> bool:
        """Tell whether the short timeouts after a start are in use."""
        return self._first_elections_left > 0

    def end_short_timeouts(self) -> None:
        """End the use of short timeouts: the group has a leader."""
        self._first_elections_left = 0

    def draw_timeout_s(self) -> float:
        """Return how long to wait for a leader before the next election."""
        timing = self._timing
        first_max_s = timing.first_election_max_s
        if first_max_s is None or not self._first_elections_left:
            return self._rng.uniform(timing.election_min_s, timing.election_max_s)
        self._first_elections_left -= 1
        return self._rng.uniform(FIRST_ELECTION_MIN_RATIO * first_max_s, first_max_s)
