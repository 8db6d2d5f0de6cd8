from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.claims.delivered_prefix import DeliveredPrefix
from pistachiopath.errors.outcomes import Completed
from pistachiopath.messages.dispatch import Chunk

ANSWER = bytes(range(64))


def chunk(offset, length):
    return Chunk(
        key=b'k',
        binding=1,
        offset=offset,
        status=200,
        content_type='text/plain',
        data=ANSWER[offset : offset + length],
    )


@given(st.lists(st.tuples(st.integers(0, 63), st.integers(0, 20)), max_size=30))
def test_chunks_in_any_order_make_a_gapless_prefix(ranges):
    prefix = DeliveredPrefix()
    delivered = b''
    for offset, length in ranges:
        msg = chunk(offset, length)
        if prefix.has_gap_before(msg):
            assert offset > len(delivered)
            continue
        for deliver in prefix.take(msg):
            delivered += deliver.data
        assert prefix.length == len(delivered)
        assert delivered == ANSWER[: len(delivered)]
    outcome = Completed(
        status=200, content_type='text/plain', answer=ANSWER, length=len(ANSWER)
    )
    assert delivered + prefix.rest(outcome).data == ANSWER
