"""Splitting of a server-sent event stream into events."""

from __future__ import annotations

import attrs

from ..errors.exchange import NumberTooLarge
from ..messages.ranges import MAX_INTEGER
from .decimal import parse_decimal

EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1024 * 1024
NO_NUMBER = -1
UNUSABLE_NUMBER = -2


@attrs.define(kw_only=True, frozen=True)
class StreamEvent:
    """The bytes of one event and its numeric id, or `NO_NUMBER` if it has none.

    The number is `UNUSABLE_NUMBER` if it is too large.  `has_data` is false for a
    comment, which callers do not see.
    """

    data: bytes
    number: int
    has_data: bool


class EventSplitter:
    r"""Splits a byte stream into complete events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b'id: 4\ndata: x\n\nid: 5')]
    [4]
    >>> splitter.is_between_events
    False
    """

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial

    @property
    def held_bytes(self) -> int:
        """Size of the buffered part of an incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        # An event may end with the last byte that is held and the first new one.
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        if self._partial.find(EVENT_END, searched) < 0:
            return []
        *complete, rest = bytes(self._partial).split(EVENT_END)
        self._partial = bytearray(rest)
        return [
            StreamEvent(
                data=part + EVENT_END,
                number=_event_number(part),
                has_data=_has_data(part),
            )
            for part in complete
        ]


def _has_data(event: bytes) -> bool:
    return any(line.startswith(b'data') for line in event.split(b'\n'))


def _event_number(event: bytes) -> int:
    for line in event.split(b'\n'):
        name, _, value = line.partition(b':')
        if name == b'id':
            number = _parse_number(value.strip())
            if number is not None:
                return number
    return NO_NUMBER


def _parse_number(text: bytes) -> int | None:
    try:
        return parse_decimal(text, MAX_INTEGER)
    except NumberTooLarge:
        return UNUSABLE_NUMBER
