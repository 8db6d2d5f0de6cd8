from __future__ import annotations

import contextlib
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.errors.transport import FrameTooLarge, MalformedFrame
from pistachiopath.messages.claims import Finish, FinishItem, OutcomeRecord
from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.registry import message_types
from pistachiopath.transport.codec import decode, encode
from pistachiopath.transport.frames import HEADER, FrameBuffer, pack
from tools.make_schema import SCHEMA, render

SIMPLE_TYPES = {
    str: st.text(
        alphabet=st.characters(exclude_categories=['Cs'], exclude_characters='\0'),
        max_size=8,
    ),
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False),
    bytes: st.binary(max_size=20),
    bool: st.booleans(),
}


def simple_messages(cls):
    """Return a strategy for messages of a class whose fields are all simple."""
    attrs.resolve_types(cls)
    fields = {f.name: SIMPLE_TYPES[f.type] for f in attrs.fields(cls)}
    return st.builds(cls, **fields)


def is_simple(cls):
    attrs.resolve_types(cls)
    return all(f.type in SIMPLE_TYPES for f in attrs.fields(cls))


def test_schema_is_generated_from_the_messages():
    assert Path(SCHEMA).read_text() == render()


@given(st.data())
def test_a_message_is_unchanged_by_the_codec(data):
    cls = data.draw(st.sampled_from([c for c in message_types() if is_simple(c)]))
    body = data.draw(simple_messages(cls))
    envelope = Envelope(call=7, body=body)
    assert decode(encode(envelope)) == envelope


def test_nested_messages_are_unchanged_by_the_codec():
    item = FinishItem(
        key=b'k', binding=2, outcome=OutcomeRecord(kind='completed', answer=b'x')
    )
    envelope = Envelope(call=0, body=Finish(items=(item, item)))
    assert decode(encode(envelope)) == envelope


@given(st.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_typed_error(data):
    with contextlib.suppress(MalformedFrame):
        decode(data)


@given(st.lists(st.binary(max_size=50), max_size=5), st.integers(1, 40))
def test_payloads_are_unchanged_by_framing(payloads, chunk_size):
    stream = b''.join(pack(payload) for payload in payloads)
    buffer = FrameBuffer()
    received = []
    for start in range(0, len(stream), chunk_size):
        buffer.feed(stream[start : start + chunk_size])
        while (payload := buffer.next()) is not None:
            received.append(payload)
    assert received == payloads


@given(st.binary(min_size=1, max_size=60), st.data())
def test_a_changed_byte_never_gives_another_payload(payload, data):
    frame = bytearray(pack(payload))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    buffer = FrameBuffer(limit=1000)
    buffer.feed(bytes(frame))
    with contextlib.suppress(FrameTooLarge, MalformedFrame):
        assert buffer.next() is None


def test_an_oversized_frame_is_rejected_by_its_header():
    buffer = FrameBuffer(limit=10)
    buffer.feed(HEADER.pack(11, 0))
    with pytest.raises(FrameTooLarge):
        buffer.next()
