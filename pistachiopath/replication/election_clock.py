"""How long a replica waits for a leader before it asks for votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from .timing import Timing

# Members that were stopped together are back within a second or two; one that
# comes back alone must not go on asking at that pace.
FIRST_ELECTIONS = 20
# Drawn from so wide a span that two members seldom ask at the same moment.
FIRST_MIN_SHARE = 0.25


class ElectionClock:
    """Draws the pause before the next election, in seconds.

    After a start elections follow each other quickly until a leader was heard:
    the first ones fail where the other members are not back yet.
    """

    def __init__(self, *, timing: Timing, rng: random.Random) -> None:
        self._timing = timing
        self._rng = rng
        self._first_left = 0 if timing.first_election_max_s is None else FIRST_ELECTIONS

    @property
    def is_hurried(self) -> bool:
        """Tell whether elections follow each other quickly."""
        return self._first_left > 0

    def heard_leader(self) -> None:
        """Take note that there is a leader."""
        self._first_left = 0

    def pause_s(self) -> float:
        """Return how long to wait for a leader from now on."""
        timing = self._timing
        first_max_s = timing.first_election_max_s
        if first_max_s is None or not self._first_left:
            return self._rng.uniform(timing.election_min_s, timing.election_max_s)
        self._first_left -= 1
        return self._rng.uniform(FIRST_MIN_SHARE * first_max_s, first_max_s)
