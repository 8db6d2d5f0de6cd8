from __future__ import annotations

import json

import urllib3

from tools.cluster import wait_until

from .callers import KEY

POISON = 'a page that no engine survives'


def ask(cluster, content):
    body = {
        'model': 'style-answer',
        'messages': [{'role': 'user', 'content': content}],
        'max_tokens': 8,
    }
    response = cluster.http.request(
        'POST',
        f'http://{cluster.entries["entry-a"]}/v1/chat/completions',
        body=json.dumps(body),
        headers={'Authorization': f'Bearer {KEY}'},
    )
    return response.status, json.loads(response.data)


def crashed_engines(cluster):
    return [
        name
        for name in cluster.engines
        if cluster.processes[f'engine-{name}'].poll() is not None
    ]


def test_content_that_crashes_engines_is_quarantined(cluster, examples):
    cluster.start_controls()
    for name in ('one', 'two', 'three'):
        cluster.start_engine(name, crash_on=POISON)
        cluster.start_agent(name, models=['proofreader'])
    cluster.start_entry('entry-a')
    assert cluster.accept(examples / 'prairie.toml').returncode == 0
    cluster.wait_ready()
    for crashes in (1, 2):
        status, document = ask(cluster, POISON)
        assert (status, document['error']['type']) == (502, 'failed')
        crashed = crashed_engines(cluster)
        assert len(crashed) == 1
        assert ask(cluster, f'harmless {crashes}')[0] == 200
        cluster.restart(f'engine-{crashed[0]}')
        wait_until(lambda n=crashed[0]: is_healthy(cluster, n), 'the engine is missing')
        if crashes == 1:
            cluster.signal('control-0', 9)
            cluster.processes['control-0'].wait()
            cluster.restart('control-0')
    status, document = ask(cluster, POISON)
    assert (status, document['error']['type']) == (422, 'quarantined')
    assert document['error']['ran'] == 'no'
    assert crashed_engines(cluster) == []


def is_healthy(cluster, name):
    try:
        url = f'http://{cluster.engines[name]}/health'
        return cluster.http.request('GET', url).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def test_crashes_of_one_target_in_quick_succession_all_count(cluster, examples):
    cluster.start_controls()
    cluster.start_engine('one', crash_on=POISON)
    cluster.start_agent('one', models=['proofreader'])
    cluster.start_entry('entry-a')
    assert cluster.accept(examples / 'prairie.toml').returncode == 0
    cluster.wait_ready()
    for _ in range(2):
        assert ask(cluster, POISON)[0] == 502
        wait_until(lambda: crashed_engines(cluster), 'the engine did not crash')
        cluster.restart('engine-one')
        wait_until(lambda: is_healthy(cluster, 'one'), 'the engine is missing')
    assert ask(cluster, POISON)[0] == 422
