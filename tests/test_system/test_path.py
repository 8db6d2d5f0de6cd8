from __future__ import annotations

import json

import openai
import pytest

from pistachiopath.engine.tokens import answer_text

KEY = 'example-key-of-town-press'


@pytest.fixture
def client(prairie):
    return openai.OpenAI(
        api_key=KEY, base_url=f'http://{prairie.entries["entry-a"]}/v1', max_retries=0
    )


def test_an_unmodified_client_gets_complete_answers(prairie, client):
    messages = [{'role': 'user', 'content': 'Is it "grey" or "gray"?'}]
    expected = answer_text('user: Is it "grey" or "gray"?', 30)
    completion = client.chat.completions.create(
        model='style-answer', messages=messages, max_tokens=30
    )
    assert completion.choices[0].message.content == expected
    stream = client.chat.completions.create(
        model='style-answer', messages=messages, max_tokens=30, stream=True
    )
    parts = [chunk.choices[0].delta.content or '' for chunk in stream]
    assert ''.join(parts) == expected
    assert 'manuscript-pass' in [model.id for model in client.models.list()]
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key='nobody').models.list()

    check_payout(prairie)
    check_bad_input(prairie)
    assert set(prairie.stop_all().values()) == {0}


def check_payout(prairie):
    """Check that a payout resent through another entry gets the same answer."""
    headers = {
        'Authorization': f'Bearer {KEY}',
    }
    headers['Idempotency-Key'] = new_request_id()
    bodies = set()
    for entry in ('entry-a', 'entry-b', 'entry-a'):
        url = f'http://{prairie.entries[entry]}/services/payments/payout'
        answer = prairie.http.request('POST', url, body=b'{"to": 5}', headers=headers)
        assert answer.status == 200
        bodies.add(answer.data)
    assert len(bodies) == 1
    ledger = prairie.http.request('GET', f'http://{prairie.engines["payments"]}/ledger')
    assert len(ledger.json()['ledger']) == 1


def new_request_id():
    import os
    import time

    from pistachiopath.claims.identity import make_request_id

    return make_request_id(int(time.time() * 1000), os.urandom(10))


def check_bad_input(prairie):
    """Check that bad requests get typed refusals and the entry stays ready."""
    base = f'http://{prairie.entries["entry-a"]}'
    auth = {'Authorization': f'Bearer {KEY}'}
    chat = '/v1/chat/completions'
    cases = [
        ('POST', chat, b'{', auth, 400, 'bad_json'),
        ('POST', chat, b'[]', auth, 400, 'bad_json'),
        ('POST', chat, b'{"model": 4}', auth, 400, 'bad_request'),
        ('POST', chat, b'{"model": "x"}', auth, 404, 'unknown_model'),
        ('POST', chat, b'{}', {}, 401, 'unauthenticated'),
        ('POST', chat, b'x' * 5_000_000, auth, 413, 'body_too_large'),
        ('POST', '/services/payments/none', b'', auth, 404, 'unknown_service'),
        (
            'POST',
            '/services/payments/payout',
            b'',
            auth | {'Idempotency-Key': 'undated'},
            400,
            'undated_request_id',
        ),
    ]
    for method, path, body, headers, status, code in cases:
        answer = prairie.http.request(method, base + path, body=body, headers=headers)
        error = json.loads(answer.data)['error']
        assert (answer.status, error['code'], error['ran']) == (status, code, 'no')
    assert prairie.is_ready('entry-a')
