from __future__ import annotations

from pistachiopath.streams.memory import STREAM_RETENTION_S, StreamMemory
from pistachiopath.streams.name import MAX_ID_CHARS, stream_name
from pistachiopath.streams.origin import Origin
from pistachiopath.streams.service_version import ServiceVersion


def note(memory, stream, version, attempt=1, is_confirmed=False, now=0.0):
    origin = Origin(
        version=ServiceVersion(service='s', version=version),
        attempt=attempt,
        is_confirmed=is_confirmed,
        noted_at=now,
    )
    memory.note(stream, origin)


def version(memory, stream):
    return memory.find(stream, 0.0).version.version


def test_an_earlier_attempt_does_not_hide_the_one_that_began_the_stream():
    memory = StreamMemory()
    note(memory, 's', 'v2', attempt=2)
    note(memory, 's', 'v1', attempt=1)
    assert version(memory, 's') == 'v2'
    note(memory, 's', 'v3', attempt=1, is_confirmed=True)
    assert version(memory, 's') == 'v3'
    note(memory, 's', 'v2', attempt=3)
    assert version(memory, 's') == 'v3'


def test_an_attempt_that_ended_without_an_event_is_forgotten_and_no_other_is():
    memory = StreamMemory()
    note(memory, 's', 'v1', attempt=1)
    memory.forget('s', 2)
    assert memory.find('s', 0.0) is not None
    memory.forget('s', 1)
    assert memory.find('s', 0.0) is None
    note(memory, 's', 'v1', attempt=1, is_confirmed=True)
    memory.forget('s', 1)
    assert memory.find('s', 0.0) is not None


def test_the_memory_is_bounded_in_number_and_time():
    memory = StreamMemory(max_streams=3)
    for number in range(5):
        note(memory, str(number), 'v1', now=number)
    assert len(memory) == 3
    assert memory.find('1', 4.0) is None
    assert memory.find('2', 4.0) is not None
    note(memory, 'new', 'v1', now=4 + STREAM_RETENTION_S)
    assert len(memory) == 1


def test_a_stream_that_is_noted_again_is_kept_longer():
    memory = StreamMemory(max_streams=2)
    note(memory, 'a', 'v1', is_confirmed=True)
    note(memory, 'b', 'v1')
    note(memory, 'a', 'v1', now=1.0)
    note(memory, 'c', 'v1', now=1.0)
    assert memory.find('a', 1.0).is_confirmed
    assert memory.find('b', 1.0) is None


def test_names_of_customers_and_long_ids_are_told_apart():
    long = 'x' * (MAX_ID_CHARS + 1)
    names = {
        stream_name(customer, request)
        for customer in ('', 'c')
        for request in ('x', long, long + 'y')
    }
    assert len(names) == 6
    assert max(map(len, names)) < 2 * MAX_ID_CHARS
