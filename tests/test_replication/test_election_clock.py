from __future__ import annotations

import random

from pistachiopath.replication.election_clock import MAX_FIRST_ELECTIONS, ElectionClock
from pistachiopath.replication.timing import Timing

TIMING = Timing(election_min_s=0.3, election_max_s=0.6, first_election_max_s=0.1)


def test_first_timeouts_are_short_and_limited_in_number():
    clock = ElectionClock(timing=TIMING, rng=random.Random(1))
    assert all(clock.draw_timeout_s() <= 0.1 for _ in range(MAX_FIRST_ELECTIONS))
    assert not clock.has_short_timeouts
    assert all(0.3 <= clock.draw_timeout_s() <= 0.6 for _ in range(50))


def test_a_known_leader_ends_the_short_timeouts():
    clock = ElectionClock(timing=TIMING, rng=random.Random(2))
    clock.draw_timeout_s()
    assert clock.has_short_timeouts
    clock.end_short_timeouts()
    assert not clock.has_short_timeouts
    assert clock.draw_timeout_s() >= 0.3


def test_without_a_limit_of_its_own_the_first_timeout_is_a_normal_one():
    clock = ElectionClock(timing=Timing(), rng=random.Random(3))
    assert not clock.has_short_timeouts
    assert clock.draw_timeout_s() >= Timing().election_min_s
