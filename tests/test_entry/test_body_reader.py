from __future__ import annotations

import io

import gevent
import pytest

from pistachiopath.entry import body_reader
from pistachiopath.entry.body_reader import read_body
from pistachiopath.errors.admission import BadRequest
from pistachiopath.exchange import request_memory
from pistachiopath.exchange.request_memory import RequestMemory

KIB = 1024
LIMIT = 256 * KIB


class Stalled(io.BytesIO):
    """A body of which nothing more arrives after its first bytes."""

    def read(self, size=-1):
        return super().read(size) or gevent.sleep(60.0)


def hold(memory):
    return memory.hold(lambda: None)


@pytest.mark.parametrize('stated', [LIMIT, None])
def test_the_largest_body_is_read_in_calm(stated):
    # Guards against a budget that refuses what the limits allow, however small it is.
    memory = RequestMemory(max_bytes=64 * KIB)
    held = hold(memory)
    body = read_body(io.BytesIO(b'a' * LIMIT), stated=stated, limit=LIMIT, held=held)
    assert body == b'a' * LIMIT
    assert memory.budget.held_bytes == LIMIT
    held.release()
    assert memory.budget.held_bytes == 0


@pytest.mark.parametrize('stated', [LIMIT + 1, None])
def test_a_body_above_the_limit_is_refused(stated):
    # Guards against a limit that holds only for stated lengths.
    stream = io.BytesIO(b'a' * (LIMIT + 1))
    with pytest.raises(BadRequest) as error:
        read_body(stream, stated=stated, limit=LIMIT, held=hold(RequestMemory()))
    assert error.value.http_status == 413


def test_a_body_without_room_is_refused_with_a_time_to_retry(monkeypatch):
    # Guards against a wait for memory that never ends.
    monkeypatch.setattr(request_memory, 'WAIT_S', 0.05)
    memory = RequestMemory(max_bytes=LIMIT)
    first = hold(memory)
    read_body(io.BytesIO(b'a' * LIMIT), stated=LIMIT, limit=LIMIT, held=first)
    stream = io.BytesIO(b'a' * LIMIT)
    with pytest.raises(BadRequest) as error:
        read_body(stream, stated=LIMIT, limit=LIMIT, held=hold(memory))
    assert error.value.http_status == 503
    assert error.value.retry_after_ms > 0


def test_a_body_that_stops_arriving_is_refused(monkeypatch):
    # Guards against memory that is held for ever for a caller that sends nothing.
    monkeypatch.setattr(body_reader, 'PIECE_TIMEOUT_S', 0.05)
    stream = Stalled(b'a' * KIB)
    with pytest.raises(BadRequest) as error:
        read_body(stream, stated=LIMIT, limit=LIMIT, held=hold(RequestMemory()))
    assert error.value.http_status == 408
