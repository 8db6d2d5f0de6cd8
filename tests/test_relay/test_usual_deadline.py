from __future__ import annotations

import random

import pytest

from pistachiopath.relay.usual_deadline import (
    MIN_SAMPLES,
    RETURNS_PER_FAILURE,
    SAMPLES,
    UsualDeadline,
)

TIMEOUT_S = 15.0


def learn(deadlines):
    usual = UsualDeadline()
    return usual, [usual.spent_s(deadline) for deadline in deadlines]


@pytest.mark.parametrize('spread', [0.0, 0.05, 0.13, 0.4])
def test_callers_that_wait_unlike_long_are_taken_for_first_attempts(spread):
    rng = random.Random(1)
    deadlines = [TIMEOUT_S * rng.uniform(1 - spread, 1) for _ in range(2000)]
    _, spent = learn(deadlines)
    assert sum(s > 0 for s in spent) <= 0.01 * len(spent)


@pytest.mark.parametrize('share', [0.1, 0.3, 0.45])
def test_callers_that_came_back_are_recognized_beside_first_attempts(share):
    rng = random.Random(2)
    usual = UsualDeadline()
    found = wrong = returned = 0
    for _ in range(3000):
        spent_s = 5.0 if rng.random() < share else 0.0
        returned += spent_s > 0
        if spent_s:
            usual.failed()
        deadline_s = TIMEOUT_S * rng.uniform(0.87, 1) - spent_s
        is_late = usual.spent_s(deadline_s) > 0
        found += is_late and spent_s > 0
        wrong += is_late and spent_s == 0
    assert found >= 0.9 * returned
    assert wrong <= 0.01 * 3000


def test_two_groups_of_callers_with_unlike_deadlines_are_both_in_time():
    rng = random.Random(3)
    _, spent = learn([rng.choice((3.0, 15.0)) for _ in range(1000)])
    assert sum(s > 0 for s in spent) <= 0.01 * len(spent)


def test_no_more_callers_come_back_than_were_sent_away():
    rng = random.Random(4)
    usual, _ = learn([rng.choice((3.0, 15.0)) for _ in range(500)])
    for _ in range(10):
        usual.failed()
    spent = [usual.spent_s(rng.choice((3.0, 15.0))) for _ in range(1000)]
    assert sum(s > 0 for s in spent) <= 10 * RETURNS_PER_FAILURE


def test_nothing_is_said_of_a_route_with_few_requests():
    _, spent = learn([TIMEOUT_S] * (MIN_SAMPLES - 1) + [1.0])
    assert set(spent) == {0.0}


def test_longer_deadlines_are_learnt_within_the_samples():
    usual, _ = learn([15.0] * SAMPLES + [30.0] * SAMPLES)
    usual.failed()
    assert usual.spent_s(29.95) == 0.0
    assert usual.spent_s(20.0) == 10.0
