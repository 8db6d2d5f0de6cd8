from __future__ import annotations

import pytest

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.grants.watch import LoadWatch
from pistachiopath.messages.grants import GateLoad
from pistachiopath.relay.departure import Departure

from .streams import stream_work

GRACE_S = 8.0
# Time per output token: as gates report it, and of a stream next to long prompts.
OUTPUT_MS = 1.2
SLOWEST_MS = 4.5


def loads(output_ms=OUTPUT_MS):
    watch = LoadWatch()
    for gate, ms in (('a', output_ms), ('b', output_ms / 4)):
        load = GateLoad(
            slots=4,
            running=0,
            waiting=(),
            free_in_ms=0,
            ms_per_1000_prompt_tokens=30,
            ms_per_1000_output_tokens=int(ms * 1000),
        )
        watch.record_load(gate, load, 10.0)
    return watch


def work(output_tokens, *, is_stream=True, **overrides):
    return stream_work(
        10.0, output_tokens=output_tokens, is_stream=is_stream, **overrides
    )


def is_admitted(departure, work, now):
    try:
        departure.check(work, now)
    except TurnedAway as exc:
        assert (exc.status, exc.reason) == (503, 'stopping')
        return False
    return True


def test_everything_is_admitted_before_a_stop():
    assert is_admitted(Departure(grace_s=GRACE_S, loads=loads()), work(1_000_000), 10.0)


@pytest.mark.parametrize('after_s', [0.0, 1.0, 2.4])
@pytest.mark.parametrize('output_tokens', [20, 280, 800, 1500, 2800])
def test_admitted_streams_end_before_the_cutoff(after_s, output_tokens):
    # Regression: long streams were admitted late in the grace and cut off at its
    # end, also when they were judged by the average speed of the engines.
    departure = Departure(grace_s=GRACE_S, loads=loads())
    departure.begin(10.0)
    now = 10.0 + after_s
    stream_s = output_tokens * SLOWEST_MS / 1000
    if is_admitted(departure, work(output_tokens), now):
        assert now + stream_s < 10.0 + GRACE_S
    else:
        assert stream_s > 3.0


def test_short_streams_and_plain_requests_are_admitted_until_the_entry_closes():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    departure.begin(10.0)
    assert is_admitted(departure, work(300), 12.6)
    assert is_admitted(departure, work(10_000, is_stream=False), 12.6)
    departure.check_open()
    departure.close()
    with pytest.raises(TurnedAway):
        departure.check_open()


def test_long_streams_are_also_refused_without_a_known_speed():
    departure = Departure(grace_s=GRACE_S, loads=LoadWatch())
    departure.begin(10.0)
    assert not is_admitted(departure, work(2800), 10.0)
    assert is_admitted(departure, work(280), 10.0)


def test_the_remaining_time_ends_before_the_grace():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    departure.begin(10.0)
    assert 0 < GRACE_S - departure.remaining_s(10.0) < 0.5
    assert departure.remaining_s(30.0) == 0


def test_many_unfinished_requests_are_ended_earlier():
    # Regression: of 200 callers 50 got no answer before the process was killed.
    departure = Departure(grace_s=GRACE_S, loads=loads())
    departure.begin(10.0)
    few_s, many_s = (departure.remaining_s(10.0, unfinished=n) for n in (0, 200))
    assert 0.39 < few_s - many_s < 1.0
    assert departure.remaining_s(17.0, unfinished=10_000) == 0
    assert few_s < departure.answering_s(10.0) < GRACE_S


def plain_work(now=10.0, **overrides):
    return stream_work(now, is_stream=False, **overrides)


def observe(departure, now, *, run_s, waited_s=0.0):
    """Record a plain request that ends at `now`."""
    ended = plain_work()
    ended.sent_at = now - run_s
    ended.waited_s = waited_s
    departure.record_run(ended, now)


@pytest.mark.parametrize('stream', [False, True])
def test_a_request_that_runs_longer_than_the_grace_is_refused(stream):
    # Regression: plain requests were taken for 2.7 s whatever they usually take.
    departure = Departure(grace_s=GRACE_S, loads=loads())
    observe(departure, 9.0, run_s=4.5)
    departure.begin(10.0)
    request = work(0) if stream else plain_work()
    assert is_admitted(departure, request, 10.1)
    assert not is_admitted(departure, request, 12.0)


def test_the_wait_for_a_place_counts_for_a_request_that_has_none_yet():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    observe(departure, 9.0, run_s=2.0, waited_s=4.0)
    departure.begin(10.0)
    request = plain_work()
    assert not is_admitted(departure, request, 12.0)
    departure.check_unsent(request, 12.0)


def test_a_request_that_waits_is_refused_once_too_little_time_is_left():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    observe(departure, 9.0, run_s=2.0)
    request = plain_work()
    departure.check_unsent(request, 16.0)
    departure.begin(10.0)
    departure.check_unsent(request, 14.0)
    with pytest.raises(TurnedAway) as caught:
        departure.check_unsent(request, 16.0)
    assert (caught.value.status, caught.value.reason) == (503, 'stopping')
    request.may_have_run = True
    departure.check_unsent(request, 16.0)


def test_a_request_whose_time_ends_before_the_grace_is_admitted():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    observe(departure, 9.0, run_s=30.0)
    departure.begin(10.0)
    assert is_admitted(departure, plain_work(deadline_s=3.0), 10.0)
    assert is_admitted(departure, plain_work(timeout_s=3.0), 10.0)
    assert is_admitted(departure, work(2800, deadline_s=3.0), 10.0)
    assert not is_admitted(departure, plain_work(), 10.0)


def test_a_route_without_known_durations_is_judged_by_its_objective():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    departure.begin(10.0)
    assert is_admitted(departure, plain_work(objective_s=3.0), 10.0)
    assert not is_admitted(departure, plain_work(objective_s=3.0), 12.0)


def test_old_durations_do_not_count():
    departure = Departure(grace_s=GRACE_S, loads=loads())
    observe(departure, 9.0, run_s=30.0)
    departure.begin(100.0)
    assert is_admitted(departure, plain_work(100.0), 100.0)
