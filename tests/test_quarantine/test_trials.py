from __future__ import annotations

import random

from pistachiopath.messages.quarantine import CrashMarks
from pistachiopath.quarantine.content import shared_parts
from pistachiopath.quarantine.crash_watch import RETENTION_S, CrashWatch
from pistachiopath.quarantine.trials import FIRST_TRIAL_S, MAX_INTERVAL_S

(PART,) = shared_parts('m', ['bad', 'last'])


def crash(watch, number, now):
    """Record a crash under a new request that has the part; return the message."""
    lifetime = f'r{number}'
    watch.broke_off(lifetime, b'%d' % number, now - 0.1, now, parts=(PART,))
    return CrashMarks(marks=watch.ended(lifetime, now))


def quarantined_watches(count):
    watches = [CrashWatch(node=f'e{n}') for n in range(count)]
    for number in range(3):
        body = crash(watches[0], number, 1.0 + number)
        for watch in watches[1:]:
            watch.heard(body, 1.0 + number)
    return watches


def first_due(watches, since):
    """Return the watch that may try the part first, and when."""
    times = {watch: since + watch.left_s(PART.key, since) for watch in watches}
    first = min(times, key=times.get)
    return first, times[first]


def test_a_part_in_quarantine_is_tried_by_one_node_at_a_time():
    watches = quarantined_watches(70)
    tries = []
    now, number = 3.0, 3
    while now < 1800.0:
        first, now = first_due(watches, now)
        tries.append(now)
        body = first.begin_trial(PART.key, now)
        for watch in watches:
            watch.heard(body, now)
            assert watch.left_s(PART.key, now) >= FIRST_TRIAL_S
        # The request of the trial crashes one more replica.
        body = crash(first, number, now + 0.2)
        number += 1
        for watch in watches:
            watch.heard(body, now + 0.3)
        now += 0.3
    assert tries[0] >= 3.0 + FIRST_TRIAL_S
    assert len(tries) <= 2 + 1800 / MAX_INTERVAL_S


def test_a_mistaken_quarantine_ends_with_the_first_trial():
    watches = quarantined_watches(7)
    first, now = first_due(watches, 3.0)
    first.begin_trial(PART.key, now)
    assert first.proven((PART,), now + 1.0) == (PART.key,)
    for watch in (w for w in watches if w is not first):
        watch.heard(CrashMarks(cleared=(PART.key,)), now + 1.0)
    for watch in watches:
        assert PART.key not in watch.blamed
        # What the part explained blames nobody else.
        assert watch.blamed == {}


def test_trials_are_less_than_the_retention_of_marks_apart():
    watches = quarantined_watches(30)
    now = 3.0
    for number in range(3, 9):
        first, due = first_due(watches, now)
        assert due - now < RETENTION_S
        now = due
        body = first.begin_trial(PART.key, now)
        marks = crash(first, number, now + 0.1)
        for watch in watches:
            watch.heard(body, now)
            watch.heard(marks, now + 0.1)
            watch.prune(now + 0.1)
            assert PART.key in watch.blamed


def test_a_node_that_starts_learns_of_the_trial_that_another_has_begun():
    watches = quarantined_watches(2)
    watches[0].begin_trial(PART.key, 40.0)
    late = CrashWatch(node='late')
    late.heard(watches[0].marks(41.0), 41.0)
    assert late.left_s(PART.key, 41.0) >= FIRST_TRIAL_S


def test_messages_in_any_order_give_the_same_quarantine():
    watches = quarantined_watches(3)
    bodies = [watches[0].marks(4.0), watches[0].begin_trial(PART.key, 40.0)]
    rng = random.Random(1)
    results = set()
    for _ in range(20):
        watch = CrashWatch(node='e')
        for body in rng.sample(bodies * 2, 4):
            watch.heard(body, 40.0)
        results.add(round(watch.left_s(PART.key, 40.0), 3))
    assert len(results) == 1
