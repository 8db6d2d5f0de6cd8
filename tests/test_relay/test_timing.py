from __future__ import annotations

import pytest

from pistachiopath.relay.timing import timing

from .streams import stream_work

OBJECTIVE_S = 1.0


@pytest.mark.parametrize(
    ('spent_s', 'sent_s', 'first_event_s', 'expected'),
    [
        (0.0, 0.1, 0.9, 'in_time'),
        (0.0, 0.1, 1.2, 'late_at_target'),
        (0.0, 1.1, 1.2, 'late_in_queue'),
        (1.5, 0.1, 0.2, 'late_on_arrival'),
        (0.0, 0.1, None, 'no_answer'),
    ],
)
def test_a_late_answer_says_where_the_objective_passed(
    spent_s, sent_s, first_event_s, expected
):
    work = stream_work(100.0, tier=1, timeout_s=6.0)
    work.first_attempt_at -= spent_s
    work.sent_at = work.started_at + sent_s
    if first_event_s is not None:
        work.first_event_at = work.started_at + first_event_s
    assert work.admitted.route.objective_s == OBJECTIVE_S
    assert timing(work) == expected
