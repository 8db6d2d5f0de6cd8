from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.exchange.chunk_merger import MAX_SMALL_BYTES, ChunkMerger

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'
NEXT = b'GET /next HTTP/1.1\r\nHost: a\r\n\r\n'


def chunk(content, *, extension=b''):
    return b'%x%b\r\n%b\r\n' % (len(content), extension, content)


def parsed(pieces):
    """Return the content that a parser finds, how it ends, and what it leaves."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(HEAD)
    assert isinstance(parser.next_event(), h11.Request)
    content = b''
    for number, piece in enumerate(pieces, 1):
        parser.receive_data(piece)
        try:
            while isinstance(event := parser.next_event(), h11.Data):
                content += event.data
        except h11.RemoteProtocolError:
            return content, 'error', b''
        if isinstance(event, h11.EndOfMessage):
            left = parser.trailing_data[0] + b''.join(pieces[number:])
            return content, 'whole', left
    return content, 'part', b''


def split(data, sizes):
    """Return the data in pieces of these sizes in turn."""
    pieces = []
    while data:
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[:size])
        data = data[size:]
    return pieces


plain = st.binary(min_size=1, max_size=20).map(chunk)
large = st.integers(4000, 5000).map(lambda size: chunk(b'x' * size))
odd = st.one_of(
    st.binary(min_size=1, max_size=5).map(lambda c: chunk(c, extension=b';a=1')),
    st.just(b'001\r\na\r\n'),
    st.sampled_from(
        [b'1\r\nab\r\n', b'\r\n', b'zz\r\n', b'1\na\n', b'-1\r\n', END, NEXT]
    ),
)
bodies = st.lists(st.one_of(plain, plain, plain, large, odd), max_size=30).map(b''.join)
cuts = st.lists(st.integers(1, 60) | st.just(5000), min_size=1, max_size=10)


@given(body=bodies, tail=st.sampled_from([END, b'', END + NEXT]), sizes=cuts)
def test_a_merged_body_is_another_body(body, tail, sizes):
    pieces = split(body + tail, sizes)
    merger = ChunkMerger()
    merged = [merger.merge(piece) for piece in pieces]
    found, expected = parsed(merged), parsed(pieces)
    if expected[1] == 'error':
        # It may be found in a later piece, but never missed.
        assert found[1] == 'error'
        assert found[0] == expected[0]
    else:
        assert found == expected


@given(contents=st.lists(st.binary(min_size=1, max_size=9), min_size=2, max_size=50))
def test_small_chunks_that_arrive_together_stay_apart(contents):
    merged = ChunkMerger().merge(b''.join(map(chunk, contents)))
    assert merged == chunk(b''.join(contents))


def test_small_chunks_after_one_in_parts_stay_apart():
    merger = ChunkMerger()
    first = chunk(b'x' * (MAX_SMALL_BYTES + 1))
    assert merger.merge(first[:100]) == first[:100]
    tail = chunk(b'a') + chunk(b'b')
    assert merger.merge(first[100:] + tail) == first[100:] + chunk(b'ab')


@pytest.mark.parametrize('at', range(1, 4))
def test_small_chunks_after_a_size_line_in_parts_stay_apart(at):
    merger = ChunkMerger()
    first = chunk(b'abc' * 6)
    assert merger.merge(first[:at]) == first[:at]
    tail = chunk(b'a') + chunk(b'b')
    assert merger.merge(first[at:] + tail) == first[at:] + chunk(b'ab')


def test_what_follows_the_last_chunk_is_changed():
    following = END + chunk(b'a') + chunk(b'b')
    assert ChunkMerger().merge(following) == following
