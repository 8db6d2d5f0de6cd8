from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.exchange.sse import NO_NUMBER, UNUSABLE_NUMBER, EventSplitter

EVENTS = [b'id: %d\ndata: word%d\n\n' % (n, n) for n in range(4)]


@given(st.lists(st.integers(1, 12), max_size=12))
def test_events_do_not_depend_on_how_the_bytes_arrive(sizes):
    data = b''.join(EVENTS)
    splitter = EventSplitter()
    received = []
    for size in [*sizes, len(data)]:
        received += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in received] == EVENTS
    assert [event.number for event in received] == [0, 1, 2, 3]
    assert splitter.is_between_events


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        (b'7', 7),
        (b'0' * 5000 + b'7', 7),
        (b'%d' % (2**63 - 1), 2**63 - 1),
        (b'%d' % 2**63, UNUSABLE_NUMBER),
        (b'9' * 5000, UNUSABLE_NUMBER),
        (b'-4', NO_NUMBER),
        (b'\xb2', NO_NUMBER),
        (b'', NO_NUMBER),
    ],
    ids=lambda v: str(v)[:12],
)
def test_the_id_of_an_event_is_a_number_or_none(text, number):
    (event,) = EventSplitter().feed(b'id: ' + text + b'\ndata: x\n\n')
    assert event.number == number


@given(st.lists(st.binary(max_size=30), max_size=5))
def test_any_bytes_are_split_into_events(parts):
    splitter = EventSplitter()
    received = b''.join(e.data for part in parts for e in splitter.feed(part))
    assert b''.join(parts).startswith(received)


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 1\nda') == splitter.feed(b'') + [
        *EventSplitter().feed(EVENTS[0])
    ]
    assert not splitter.is_between_events
    assert splitter.held_bytes == 8
