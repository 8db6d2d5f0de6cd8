from __future__ import annotations

import random

from pistachiopath.lifetimes.process_spans import RETENTION_S, ProcessSpan, ProcessSpans


def test_connections_that_overlap_are_taken_for_different_processes():
    spans = ProcessSpans()
    spans.heard('a:1', 1.0, 3.0)
    spans.heard('a:1', 2.0, 6.0)
    assert spans.around('a:1', 5.0) == ProcessSpan(since=1.0, until=6.0)


def test_a_new_connection_is_taken_for_the_process_before_without_proof():
    spans = ProcessSpans()
    spans.heard('a:1', 1.0, 3.0)
    spans.heard('a:1', 3.5, 4.0)
    assert spans.around('a:1', 3.7) == ProcessSpan(since=3.5, until=4.0)
    assert spans.around('a:1', 9.0) == ProcessSpan(since=9.0, until=9.0)
    # An older connection still brings bytes.
    spans.heard('a:1', 2.0, 5.0)
    assert spans.around('a:1', 3.7) == ProcessSpan(since=1.0, until=5.0)


def test_spans_of_processes_that_ended_long_ago_are_kept():
    spans = ProcessSpans()
    spans.heard('a:1', 1.0, 3.0)
    spans.prune(3.0 + RETENTION_S)
    assert spans.around('a:1', 2.0) == ProcessSpan(since=2.0, until=2.0)


def test_two_processes_of_a_random_history_are_joined():
    for seed in range(200):
        rng = random.Random(seed)
        spans = ProcessSpans()
        ends = sorted(rng.sample(range(100), 4))
        events = []
        for since, until in zip([0, *ends], ends, strict=False):
            for _ in range(rng.randint(1, 5)):
                opened = rng.uniform(since, until)
                events += [
                    (now, opened)
                    for now in (rng.uniform(opened, until) for _ in range(3))
                ]
        for now, opened in sorted(events):
            spans.heard('a:1', opened, now)
        for _, opened in events:
            span = spans.around('a:1', opened)
            assert not any(span.since < end < span.until for end in ends), seed
