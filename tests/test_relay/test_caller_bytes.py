"""What a caller's socket receives when a stream breaks off, to the last byte."""

from __future__ import annotations

import pytest

from pistachiopath.exchange.limits import ExchangeLimits
from tests.test_exchange.sockets import CLOSE, RESET, EchoServer, ScriptedTarget

from .parts import (
    FAILED,
    IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    SIGNED,
    answer,
    chunk,
    events,
    serve,
    stream_head,
)

END = b'0\r\n\r\n'
# After a complete answer the server waits this long for the next request.
IDLE_TIMEOUT_S = 0.5
REQUEST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
CLOSING_REQUEST = REQUEST[:-2] + b'Connection: close\r\n\r\n'
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n'
NO_IDS = b'data: one\n\ndata: two\n\n'
BROKEN_STREAMS = {
    'chunked and reset': [stream_head() + chunk(events(0, 1)), RESET],
    'chunked and closed': [stream_head() + chunk(events(0, 1)), CLOSE],
    'within an event': [stream_head() + chunk(events(0, 1) + b'id: 2\nda') + END],
    'without a length, within an event': [
        UNFRAMED_HEAD + events(0, 1) + b'id: 2\nda',
        CLOSE,
    ],
    'without a length, reset': [UNFRAMED_HEAD + events(0, 1), RESET],
}
NEXT_ANSWERS = {
    'an error': [FAILED],
    'a refusal': [NOT_RUN],
    'a refusal without proof': [answer(b'busy', b'503 Busy')],
    'another replica': [answer(b'', b'421 Other')],
    'half a head': [b'HTTP/1.1 500 Err\r\nRequest-Id: a', CLOSE],
    'a success without proof': [answer(b'text', extra=b'Request-Id: abc\r\n')],
    'a success cut short': [answer(b'text')[:-2], CLOSE],
    'the stream from its start': [stream_head() + chunk(events(0, 4)) + END],
}


def caller_bytes(targets, repetition, request=REQUEST):
    """Serve one request over a real connection; return all that the caller gets."""
    server = EchoServer(
        limits=ExchangeLimits(idle_timeout_s=IDLE_TIMEOUT_S),
        handle=lambda conn, req: serve(targets, repetition, stream=True, caller=conn),
    )
    return server.send_parts(request)


def body_of(data):
    """Return the body as far as it arrived, and whether it looks complete."""
    head, _, rest = data.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert b'transfer-encoding: chunked' in head.lower()
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            assert rest == b'\r\n'
            return body, True
        body += rest[:length]
        rest = rest[length + 2 :]
    return body, False


@pytest.mark.parametrize('following', NEXT_ANSWERS)
@pytest.mark.parametrize('broken', BROKEN_STREAMS)
@pytest.mark.parametrize('repetition', [RESUMABLE, IDEMPOTENT])
def test_no_byte_of_another_answer_follows_in_a_broken_stream(
    broken, following, repetition
):
    first = ScriptedTarget(BROKEN_STREAMS[broken])
    second = ScriptedTarget(NEXT_ANSWERS[following])
    body, is_complete = body_of(caller_bytes([first, second], repetition))
    assert body == events(0, 1)
    assert not is_complete


@pytest.mark.parametrize('broken', BROKEN_STREAMS)
def test_a_stream_that_goes_on_elsewhere_reaches_the_caller_whole(broken):
    first = ScriptedTarget(BROKEN_STREAMS[broken])
    second = ScriptedTarget([stream_head() + chunk(events(2, 4)) + END])
    data = caller_bytes([first, second], RESUMABLE)
    assert body_of(data) == (events(0, 4), True)


@pytest.mark.parametrize('following', NEXT_ANSWERS)
def test_a_broken_stream_without_ids_is_not_continued(following):
    first = ScriptedTarget([stream_head() + chunk(NO_IDS), RESET])
    second = ScriptedTarget(NEXT_ANSWERS[following])
    body, is_complete = body_of(caller_bytes([first, second], RESUMABLE))
    assert (body, is_complete) == (NO_IDS, False)
    assert second.requests == []


@pytest.mark.parametrize('odd', [5, 0, 1], ids=['skipped', 'restarted', 'repeated'])
def test_no_event_is_lost_that_arrives_with_one_out_of_order(odd):
    # Regression: the events before it counted as delivered, and were dropped.
    first = ScriptedTarget([stream_head() + chunk(events(0, 1) + events(odd, odd))])
    second = ScriptedTarget([stream_head() + chunk(events(2, 4)) + END])
    data = caller_bytes([first, second], RESUMABLE, CLOSING_REQUEST)
    assert body_of(data) == (events(0, 4), True)


@pytest.mark.parametrize('digits', [20, 400, 5000])
@pytest.mark.parametrize('before', [0, 2])
def test_a_stream_with_an_id_of_any_length_is_resumed_at_another_target(before, digits):
    # Regression: the id raised ValueError, which closed the caller's connection.
    odd = b'id: ' + b'9' * digits + b'\ndata: odd\n\n'
    sent = events(0, before - 1) if before else b''
    first = ScriptedTarget([stream_head() + chunk(sent + odd)])
    second = ScriptedTarget([stream_head() + chunk(events(before, 4)) + END])
    data = caller_bytes([first, second], RESUMABLE, CLOSING_REQUEST)
    assert body_of(data) == (events(0, 4), True)


def test_an_answer_without_a_length_is_framed_for_the_caller():
    target = ScriptedTarget([UNFRAMED_HEAD + events(0, 2), CLOSE])
    assert body_of(caller_bytes([target], RESUMABLE)) == (events(0, 2), True)


def test_an_answer_without_a_length_that_ends_before_its_first_event_is_cut():
    # A replica that ends after its head closes its connection like one that is done.
    first = ScriptedTarget([UNFRAMED_HEAD, CLOSE])
    second = ScriptedTarget([stream_head() + chunk(events(0, 4)) + END])
    data = caller_bytes([first, second], RESUMABLE)
    assert body_of(data) == (events(0, 4), True)
