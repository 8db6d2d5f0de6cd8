from __future__ import annotations

import json

import urllib3

from tools.cluster import wait_until


def test_a_closed_reader_does_not_cancel_a_resumed_stream(cluster):
    # Regression: after a second reader had resumed a stream, the first one
    # cancelled it when it noticed that its own connection was closed.
    cluster.start_engine('one', profile={'decode_tokens_s': 100.0})
    base = f'http://{cluster.engines["one"]}'
    wait_until(lambda: is_up(cluster, base), 'the engine did not start')
    body = {'prompt': 'p', 'max_tokens': 60, 'stream': True}
    first = cluster.http.request(
        'POST', f'{base}/v1/completions', body=json.dumps(body), preload_content=False
    )
    data = first.read1()
    name = first.headers['X-Stream-Id']
    second = cluster.http.request(
        'GET',
        f'{base}/v1/streams/{name}',
        fields={'offset': str(len(data))},
        preload_content=False,
    )
    data += second.read1()
    first.close()
    data += second.read()
    assert data.endswith(b'data: [DONE]\n\n')
    assert data.count(b'data: ') == 60 + 2


def post(cluster, base, path, body):
    return cluster.http.request('POST', base + path, body=json.dumps(body)).json()


def test_kv_blocks_move_and_cache_events_come_with_gaps(cluster):
    for name in ('one', 'two'):
        cluster.start_engine(name, event_gap=3, event_lag_s=0.0)
    one, two = (f'http://{cluster.engines[name]}' for name in ('one', 'two'))
    for base in (one, two):
        wait_until(lambda b=base: is_up(cluster, b), 'the engine did not start')
    prompt = 'a prompt of many blocks ' * 40
    body = {'prompt': prompt, 'max_tokens': 2}
    post(cluster, one, '/v1/completions', body)
    exported = post(cluster, one, '/kv/export', {'prompt': prompt})
    assert len(exported['blocks']) == 15
    post(cluster, two, '/kv/import', exported)
    post(cluster, two, '/v1/completions', body)
    load = cluster.http.request('GET', two + '/load').json()
    assert (load['cached_tokens'], load['prefill_tokens']) == (239, 1)
    events = cluster.http.request('GET', one + '/cache_events').json()['events']
    assert [e['sequence'] for e in events] == [1, 2, 4, 5, 7, 8, 10, 11, 13, 14]


def is_up(cluster, base):
    try:
        return cluster.http.request('GET', f'{base}/health').status == 200
    except urllib3.exceptions.HTTPError:
        return False
