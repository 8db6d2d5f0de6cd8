from __future__ import annotations

import random

from pistachiopath.replication.election_clock import FIRST_ELECTIONS, ElectionClock
from pistachiopath.replication.timing import Timing

TIMING = Timing(election_min_s=0.3, election_max_s=0.6, first_election_max_s=0.1)


def test_first_elections_are_quick_and_bounded_in_number():
    clock = ElectionClock(timing=TIMING, rng=random.Random(1))
    assert all(clock.pause_s() <= 0.1 for _ in range(FIRST_ELECTIONS))
    assert not clock.is_hurried
    assert all(0.3 <= clock.pause_s() <= 0.6 for _ in range(50))


def test_a_leader_that_was_heard_ends_the_hurry():
    clock = ElectionClock(timing=TIMING, rng=random.Random(2))
    clock.pause_s()
    assert clock.is_hurried
    clock.heard_leader()
    assert not clock.is_hurried
    assert clock.pause_s() >= 0.3


def test_without_a_bound_of_its_own_the_first_election_is_like_all():
    clock = ElectionClock(timing=Timing(), rng=random.Random(3))
    assert not clock.is_hurried
    assert clock.pause_s() >= Timing().election_min_s
