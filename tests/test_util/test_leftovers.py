from __future__ import annotations

import gc

import gevent

from tests.harness.leftovers import end_greenlets


def _count(counts):
    while True:
        counts.append(1)
        gevent.sleep(0.001)


def test_a_greenlet_of_one_test_does_not_run_in_the_next():
    # Regression: an entry that an earlier test had left running wrote the first of
    # the log lines that another test was looking for.
    counts = []
    running = gevent.spawn(_count, counts)
    later = gevent.spawn_later(0.01, counts.append, 'late')
    gevent.sleep(0.005)
    end_greenlets()
    before = len(counts)
    gevent.sleep(0.02)
    assert running.dead
    assert later.dead
    assert len(counts) == before


def test_a_greenlet_of_a_wider_fixture_goes_on():
    counts = []
    running = gevent.spawn(_count, counts)
    gc.freeze()
    end_greenlets()
    before = len(counts)
    gevent.sleep(0.02)
    assert not running.dead
    assert len(counts) > before
    running.kill()
