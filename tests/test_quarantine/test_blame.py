from __future__ import annotations

import itertools
import random
import time

from pistachiopath.quarantine.blame import CrashHistory, blamed_contents
from pistachiopath.quarantine.broken_run import BrokenRun
from pistachiopath.quarantine.content import Content

REQUEST, OTHER_REQUEST = Content(key=b'request'), Content(key=b'other')
FIRST, SECOND = Content(key=b'first', depth=1), Content(key=b'second', depth=2)


def history(content, *times, ran_s=0.1, is_proven=False):
    """Return a history of crashes at these times, each of another replica."""
    runs = {
        f'r{at}': BrokenRun(started_at=at - ran_s, broken_at=at)
        for at in map(float, times)
    }
    return CrashHistory(content=content, runs=runs, is_proven=is_proven)


def blamed(*histories):
    return {h.content for h in blamed_contents(histories).values()}


def test_a_part_is_blamed_for_crashes_of_requests_that_are_not_alike():
    assert blamed(history(SECOND, 1, 2)) == set()
    assert blamed(history(SECOND, 1, 2, 3)) == {SECOND}


def test_a_part_that_has_run_well_before_is_blamed_later():
    assert blamed(history(FIRST, 1, 2, 3, is_proven=True)) == set()
    assert blamed(history(FIRST, 1, 2, 3, 4, is_proven=True)) == {FIRST}


def test_of_two_parts_in_the_same_crashes_the_one_that_never_ran_well_is_blamed():
    crashes = (1, 2, 3, 4)
    proven = history(SECOND, *crashes, is_proven=True)
    assert blamed(proven, history(FIRST, *crashes)) == {FIRST}


def test_parts_that_can_not_be_told_apart_wait_for_another_crash():
    for count, expected in ((3, set()), (4, set()), (5, {SECOND})):
        times = range(1, count + 1)
        assert blamed(history(FIRST, *times), history(SECOND, *times)) == expected
    assert blamed(history(FIRST, 1, 2), history(SECOND, 1, 2, 3)) == {SECOND}


def test_what_ran_beside_a_blamed_part_is_not_blamed():
    part = history(SECOND, 1, 2, 3)
    assert blamed(part, history(REQUEST, 1, 2), history(OTHER_REQUEST, 2, 3)) == {
        SECOND
    }


def test_crashes_that_a_blamed_part_does_not_explain_still_count():
    part = history(SECOND, 1, 2, 3)
    assert blamed(part, history(REQUEST, 3, 4, 5)) == {SECOND, REQUEST}


def test_two_parts_that_crash_replicas_are_both_blamed():
    assert blamed(history(FIRST, 1, 3, 5), history(SECOND, 2, 4, 6)) == {FIRST, SECOND}


def test_a_part_on_replicas_that_end_at_the_same_moment_is_not_blamed():
    times = [5.0 + n / 1000 for n in range(9)]
    assert blamed(history(SECOND, *times, ran_s=1.0)) == set()


def test_a_part_in_overlapping_runs_is_blamed_after_more_crashes():
    times = [5.0 + n / 10 for n in range(3)]
    assert blamed(history(SECOND, *times, ran_s=1.0)) == set()
    assert blamed(history(SECOND, *times, 5.3, ran_s=1.0)) == {SECOND}


def test_the_order_in_which_crashes_become_known_does_not_matter():
    rng = random.Random(3)
    for _ in range(200):
        contents = [REQUEST, OTHER_REQUEST, FIRST, SECOND]
        histories = [
            history(
                content,
                *rng.sample(range(1, 12), rng.randint(1, 6)),
                is_proven=rng.random() < 0.3,
            )
            for content in contents
        ]
        results = {
            frozenset(blamed(*order)) for order in itertools.permutations(histories)
        }
        assert len(results) == 1


def test_the_verdict_on_many_contents_takes_little_time():
    histories = [
        history(Content(key=b'%d' % n, depth=1), *range(5 * n, 5 * n + 5))
        for n in range(2000)
    ]
    started_at = time.process_time()
    assert len(blamed(*histories)) == 2000
    assert time.process_time() - started_at < 3.0
