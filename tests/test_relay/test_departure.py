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


def work(output_tokens, *, is_stream=True):
    return stream_work(10.0, output_tokens=output_tokens, is_stream=is_stream)


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
    # Regression: a stream of 2,700 tokens was admitted 2.4 s after the stop began
    # and cut off 5.5 s later (LOST on Ankobra's trouble-2).  This happened again
    # with a first fix that used the average speed of the engines.
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
