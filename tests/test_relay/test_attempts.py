from __future__ import annotations

import attrs

from pistachiopath.relay.attempts import EarlierAttempts
from pistachiopath.relay.usual_deadline import MIN_SAMPLES

from .streams import stream_work


def test_returns_with_a_part_of_a_stream_do_not_count_as_deadlines_of_first_attempts():
    attempts = EarlierAttempts()
    work = stream_work(0.0, deadline_s=15.0)
    route = work.admitted.route
    resumed = attrs.evolve(work.req, deadline_s=5.0, last_event=3)
    for _ in range(2 * MIN_SAMPLES):
        attempts.spent_s(work.req, route)
        attempts.spent_s(resumed, route)
        attempts.failed(route)
    assert attempts.spent_s(resumed, route) == 0.0
    came_back = attrs.evolve(work.req, deadline_s=9.0)
    assert attempts.spent_s(came_back, route) == 6.0
