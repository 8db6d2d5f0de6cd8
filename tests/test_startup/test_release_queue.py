"""Order and bounds of requests that wait after a start, in virtual time."""

from __future__ import annotations

import random

from pistachiopath.startup.bounds import configuration_wait_s, replica_wait_s
from pistachiopath.startup.knowledge import STARTUP_S, StartupKnowledge, Subject
from pistachiopath.startup.release_queue import ReleaseQueue, Waiting

INTERVAL_S = 0.005
# Requests of one entry of 40 in a second, by tier: number and objective in seconds.
LOAD = {0: (4, 0.55), 1: (3, 0.427), 2: (5, 0.421)}


def arrivals(rng, seconds):
    for tier, (per_s, objective_s) in LOAD.items():
        for _ in range(int(per_s * seconds)):
            arrived_at = rng.uniform(0.0, seconds)
            yield arrived_at, tier, arrived_at + objective_s


def test_those_that_waited_go_on_by_tier_and_then_by_time_left():
    # Guards against releases in order of arrival, by which gates fill up with
    # requests that are less urgent or late already.
    for seed in range(20):
        queue = ReleaseQueue()
        for number, (_, tier, due_at) in enumerate(arrivals(random.Random(seed), 1.5)):
            queue.add(Waiting(number=number, tier=tier, due_at=due_at))
        now, released = 1.5, []
        while (waiting := queue.take(now)) is not None:
            released.append((waiting.tier, waiting.due_at < now, waiting.due_at))
            now += INTERVAL_S
        tiers = [tier for tier, _, _ in released]
        assert tiers == sorted(tiers)
        urgent = [(is_late, due_at) for tier, is_late, due_at in released if not tier]
        on_time = [due_at for is_late, due_at in urgent if not is_late]
        assert on_time == sorted(on_time)
        assert len(released) == 17
        assert now - 1.5 < 0.1


def test_one_that_left_is_not_released():
    queue = ReleaseQueue()
    queue.add(Waiting(number=1, tier=0, due_at=1.0))
    queue.add(Waiting(number=2, tier=1, due_at=1.0))
    queue.remove(1)
    assert queue.take(0.0).number == 2
    assert queue.take(0.0) is None


def test_no_request_waits_for_longer_than_its_caller():
    assert configuration_wait_s(None) < 2.0
    assert configuration_wait_s(0.4) < 0.4
    assert replica_wait_s(1.8, 0.55) == 1.25
    assert replica_wait_s(0.2, 0.55) == 0.0


def test_the_first_replica_is_awaited_only_after_a_start():
    # Guards against waits of a service that lost all its replicas later.
    knowledge = StartupKnowledge(started_at=10.0)
    assert knowledge.awaits_replica('a', 11.0)
    assert not knowledge.awaits_replica('a', 10.0 + STARTUP_S)
    knowledge.learn(Subject.REPLICA, 11.0, service='a')
    assert not knowledge.awaits_replica('a', 11.0)
    assert knowledge.awaits_replica('b', 11.0)
    assert knowledge.known_after_ms(Subject.CONFIGURATION) == -1
