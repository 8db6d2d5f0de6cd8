from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.exchange.sse import EventSplitter

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


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 1\nda') == splitter.feed(b'') + [
        *EventSplitter().feed(EVENTS[0])
    ]
    assert not splitter.is_between_events
    assert splitter.held_bytes == 8
