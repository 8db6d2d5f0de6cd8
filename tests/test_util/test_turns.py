from __future__ import annotations

import time

import gevent
import pytest

from pistachiopath.util import turns
from pistachiopath.util.turns import REST_SHARE, UNRESTED_S, Turns, _SharedWork

PIECE_S = 0.004
READERS = 20


@pytest.fixture(autouse=True)
def shared_work(monkeypatch):
    monkeypatch.setattr(turns, '_shared_work', _SharedWork())


def work(seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass


def read_pieces(worked):
    """Wait for each piece, as for a slow sender, and work on it."""
    reader = Turns()
    while True:
        reader.rest()
        began_at = time.monotonic()
        gevent.sleep(0.001)
        reader.received(1, began_at)
        worked.append(PIECE_S)
        work(PIECE_S)


def test_readers_of_costly_pieces_leave_no_time_for_the_others():
    # Regression (review/9): hundreds of bodies in chunks of one byte.
    worked = []
    readers = [gevent.spawn(read_pieces, worked) for _ in range(READERS)]
    began_at = time.monotonic()
    gevent.sleep(1.0)
    took_s = time.monotonic() - began_at
    gevent.killall(readers)
    # All had one piece before the first had to rest.
    most = REST_SHARE * took_s + UNRESTED_S + READERS * PIECE_S
    assert sum(worked) <= 1.2 * most


def test_the_wait_for_a_piece_counts_as_work():
    reader = Turns()
    reader.begin()
    reader.rest()
    waiting_since = time.monotonic()
    gevent.sleep(2 * UNRESTED_S)
    reader.received(1, waiting_since)
    assert rest_of(reader) < UNRESTED_S


def test_the_time_between_two_messages_counts_as_work():
    # Regression: a pipelined request paid for the run of the one before it.
    reader = Turns()
    reader.begin()
    gevent.sleep(2 * UNRESTED_S)
    reader.begin()
    assert rest_of(reader) < UNRESTED_S


def test_a_standstill_of_the_process_counts_as_work():
    # Regression: after a freeze all bodies rested for twice as long.
    reader = Turns()
    reader.begin()
    time.sleep(4 * UNRESTED_S)
    assert rest_of(reader) < UNRESTED_S


def rest_of(reader):
    """Return for how long a reader rests, in seconds."""
    began_at = time.monotonic()
    reader.rest()
    return time.monotonic() - began_at


def test_what_was_worked_long_ago_is_rested_for():
    shared = _SharedWork()
    assert not shared.rest_s(0.9 * UNRESTED_S * REST_SHARE, 10.0)
    assert not shared.rest_s(0.1 * UNRESTED_S * REST_SHARE, 10.001)
    assert shared.rest_s(0.01, 10.001) == pytest.approx(0.01 / REST_SHARE - 0.001)
    assert not shared.rest_s(0.01, 11.0)


def test_rests_are_not_logged_or_each_of_them_is(caplog):
    shared = _SharedWork()
    for step in range(20):
        shared.rest_s(0.1, 10.0 + step / 10)
    assert caplog.messages == ['readers_rest', 'readers_rest']
