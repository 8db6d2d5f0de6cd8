from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.errors.exchange import BadHttp
from pistachiopath.exchange.answer import AnswerHead
from pistachiopath.exchange.request import HttpRequest
from pistachiopath.messages.allowance import Borrow
from pistachiopath.messages.grants import Ask
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.relay.verdict import Verdict
from pistachiopath.transport.codec import encode_message

HEADERS = {
    b'host': b'a.example:80',
    b'request-id': b'abc',
    b'deadline-ms': b'5000',
    b'authorization': b'Token secret',
    b'token-usage': b'1460,80',
    b'prefix-hash': b'5c1e:800, 91bd:410',
    b'model': b'm',
}


def read(**changes):
    headers = HEADERS | {k.replace('_', '-').encode(): v for k, v in changes.items()}
    http = HttpRequest(
        method=b'POST',
        target=b'/p?q',
        headers=[(k, v) for k, v in headers.items() if v is not None],
        body=b'',
    )
    return PlatformDialect().read(http)


def forwarded_headers(req, customer='t', last_event=None):
    return dict(
        PlatformDialect().target_headers(
            req,
            replica='i-1',
            customer=customer,
            remaining_s=2.5,
            last_event=last_event,
        )
    )


def test_request_headers_are_decoded():
    req = read()
    assert (req.host, req.request_id, req.key) == ('a.example', 'abc', 'secret')
    assert req.deadline_s == 5.0
    assert (req.prompt_tokens, req.output_tokens) == (1460, 80)
    assert [(p.part_id, p.tokens) for p in req.parts] == [('5c1e', 800), ('91bd', 410)]
    assert (req.last_event, req.resumes) == (None, '')
    resumed = read(last_event_id=b'7', resumes=b'9c41')
    assert (resumed.last_event, resumed.resumes) == (7, '9c41')


@pytest.mark.parametrize('text', [b'', b'x', b'12', b'1,', b',2', b'-1,2'])
def test_invalid_token_counts_are_ignored(text):
    assert not read(token_usage=text).has_counts


def test_request_without_id_is_refused():
    with pytest.raises(BadHttp):
        read(request_id=None)


def test_system_headers_are_replaced_and_the_key_is_not_forwarded():
    req = read(tenant=b'forged', hold=b'h', pin_ms=b'9', kv_from=b'x', te=b'trailers')
    headers = forwarded_headers(req)
    assert headers[b'tenant'] == b't'
    assert headers[b'expect-replica'] == b'i-1'
    assert headers[b'deadline-ms'] == b'2500'
    assert headers[b'model'] == b'm'
    assert headers[b'token-usage'] == b'1460,80'
    for name in (b'authorization', b'hold', b'pin-ms', b'kv-from', b'te'):
        assert name not in headers
    assert b'tenant' not in forwarded_headers(req, customer='')


@pytest.mark.parametrize('name', ['Zürich', '客户', 'Øre 😀', 't ', ' '])
def test_a_name_beyond_latin_1_is_sent_as_utf_8(name):
    headers = forwarded_headers(read(), customer=name)
    assert headers[b'tenant'] == name.strip().encode()


def test_resumed_stream_sends_the_last_event_id():
    assert (
        forwarded_headers(read(last_event_id=b'4'), last_event=9)[b'last-event-id']
        == b'9'
    )
    assert b'last-event-id' not in forwarded_headers(read())


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, [(b'replica-signature', b's')], Verdict.SUCCESS),
        (200, [], Verdict.UNPROVEN),
        (
            200,
            [(b'replica-signature', b's'), (b'content-encoding', b'gzip')],
            Verdict.UNPROVEN,
        ),
        (503, [(b'not-executed', b'1')], Verdict.NOT_RUN),
        (400, [(b'not-executed', b'1')], Verdict.NOT_RUN),
        (503, [(b'replica-signature', b's')], Verdict.UNPROVEN),
        (429, [], Verdict.UNPROVEN),
        (421, [], Verdict.ELSEWHERE),
        # Regression: this was treated like the answer of a full replica.
        (421, [(b'not-executed', b'1')], Verdict.ELSEWHERE),
        (500, [(b'replica-signature', b's')], Verdict.FAILURE),
        (504, [(b'replica-signature', b's')], Verdict.FAILURE),
    ],
)
def test_verdict_of_an_answer(status, headers, verdict):
    head = AnswerHead(status=status, headers=headers)
    assert PlatformDialect().verdict(head) is verdict


HEADER_BYTES = st.one_of(
    st.binary(max_size=12),
    st.integers(0, 10**30).map(lambda number: b'%d' % number),
    st.integers(1, 6000).map(lambda length: b'7' * length),
    st.lists(
        st.sampled_from([b'9' * 400, b'4', b',', b':', b'\xb2', b' ', b'a']), max_size=6
    ).map(b''.join),
)


@given(
    st.dictionaries(
        st.sampled_from([name.decode().replace('-', '_') for name in HEADERS]),
        HEADER_BYTES,
    ),
    HEADER_BYTES,
)
def test_any_headers_give_a_request_that_can_be_sent_on_or_a_typed_error(
    changes, last_event_id
):
    try:
        req = read(last_event_id=last_event_id, **changes)
    except BadHttp as exc:
        assert exc.status == 400
        return
    ask = Ask(
        request=f'{req.request_id}.1',
        tier=0,
        customer='',
        prompt_tokens=req.prompt_tokens,
        output_tokens=req.output_tokens,
        objective_ms=0,
        deadline_ms=int((req.deadline_s or 0.0) * 1000),
        slots=1,
    )
    encode_message(ask)
    encode_message(Borrow(customer='', cost=req.prompt_tokens + req.output_tokens))
    assert forwarded_headers(req, last_event=req.last_event)
