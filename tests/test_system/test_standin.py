from __future__ import annotations

import json

from tools.cluster import wait_until


def test_a_late_reader_does_not_end_the_stream_that_was_resumed(cluster):
    # Failing first: the old reader cancelled the stream when it noticed that
    # its connection was gone, after another had resumed it.
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


def is_up(cluster, base):
    import urllib3

    try:
        return cluster.http.request('GET', f'{base}/health').status == 200
    except urllib3.exceptions.HTTPError:
        return False
