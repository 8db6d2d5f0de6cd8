"""Measures the whole path with real processes on loopback."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json
import tempfile
import time
from pathlib import Path

import gevent.pool
import urllib3

from pistachiopath.load.report import quantile
from tools.cluster import Cluster, wait_until
from tools.probe import cpu_s, rss_mb

FAST = {'decode_tokens_s': 2000.0, 'prefill_tokens_s': 200000.0, 'max_batch': 64}
KEYS = (
    'town-press',
    'school-board',
    'lakeside-books',
)
IDLE_S = 5.0
PATH = '/v1/chat/completions'


def request(http, url, tokens, number):
    """Send one streamed request; return seconds to its first byte and all."""
    body = {
        'model': 'style-answer',
        'messages': [{'role': 'user', 'content': f'measure {number}'}],
        'max_tokens': tokens,
        'stream': True,
    }
    key = KEYS[number % len(KEYS)]
    headers = {'Authorization': f'Bearer example-key-of-{key}'}
    began = time.monotonic()
    response = http.request(
        'POST', url, body=json.dumps(body), headers=headers, preload_content=False
    )
    data = response.read1()
    first = time.monotonic() - began
    data += response.read()
    response.release_conn()
    assert response.status == 200 and data.endswith(b'[DONE]\n\n'), data[-200:]
    return first, time.monotonic() - began


LINK_BYTES = (
    'pistachiopath_link_sent_bytes_total',
    'pistachiopath_link_received_bytes_total',
)


def link_bytes(http, address):
    """Return the bytes that a process exchanged with others of the system."""
    text = http.request('GET', f'http://{address}/metrics').data.decode()
    lines = [line.split() for line in text.splitlines()]
    return sum(int(words[1]) for words in lines if words[0] in LINK_BYTES)


def idle(cluster, http):
    """Return the cost of processes that have nothing to do."""
    entry = cluster.entries['entry-a']
    names = ('entry-a', 'agent-fast', 'control-0', 'control-1', 'control-2')
    pids = {name: cluster.processes[name].pid for name in names}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    before_bytes = link_bytes(http, entry)
    time.sleep(IDLE_S)
    figures = {
        f'idle_cpu_{name}': (cpu_s(pid) - before[name]) / IDLE_S
        for name, pid in pids.items()
    }
    exchanged = link_bytes(http, entry) - before_bytes
    figures['idle_bytes_per_s'] = exchanged / IDLE_S
    figures |= {f'idle_rss_{name}': rss_mb(pid) for name, pid in pids.items()}
    return figures


def first_byte(cluster, http, number=60):
    """Return the p95 seconds to the first byte, through the path and not."""
    through = f'http://{cluster.entries["entry-a"]}{PATH}'
    direct = f'http://{cluster.engines["fast"]}{PATH}'
    added = {}
    for name, url in (('path', through), ('direct', direct)):
        seconds = [request(http, url, 4, n)[0] for n in range(number)]
        added[name] = quantile(seconds, 0.95)
    return added


def relay(cluster, http, tokens, number, at_a_time):
    """Return the processor seconds of entry and agent, by request."""
    url = f'http://{cluster.entries["entry-a"]}{PATH}'
    pids = {n: cluster.processes[n].pid for n in ('entry-a', 'agent-fast')}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    pool = gevent.pool.Pool(at_a_time)
    began = time.monotonic()
    list(pool.imap_unordered(lambda n: request(http, url, tokens, n), range(number)))
    took = time.monotonic() - began
    used = {name: (cpu_s(p) - before[name]) / number for name, p in pids.items()}
    loaded = {f'loaded_rss_{name}': rss_mb(pid) for name, pid in pids.items()}
    return used | loaded | {'requests_per_s': number / took}


def main():
    """Return all figures."""
    figures = {}
    http = urllib3.PoolManager(retries=False, maxsize=128, timeout=60.0)
    with tempfile.TemporaryDirectory() as name, Cluster(folder=Path(name)) as cluster:
        cluster.start_controls()
        cluster.start_engine('fast', profile=FAST)
        cluster.start_agent('fast', models=['proofreader'], window=64)
        cluster.start_entry('entry-a', log_level='warning')
        answers = Path(name) / 'answers.toml'
        text = Path('examples/prairie.toml').read_text()
        answers.write_text(
            text.replace('size = "small"', 'size = "large"').replace(
                'size = "medium"', 'size = "large"'
            )
        )
        began = time.monotonic()
        assert cluster.accept(answers).returncode == 0
        cluster.wait_ready()
        figures['start_s'] = time.monotonic() - began
        figures |= {f'first_byte_{k}': v for k, v in first_byte(cluster, http).items()}
        figures |= idle(cluster, http)
        time.sleep(2.0)
        for tokens in (4, 64, 256, 1024):
            number = 200 if tokens < 200 else 60
            figures[f'relay_{tokens}'] = relay(cluster, http, tokens, number, 16)
            time.sleep(2.0)
        began = time.monotonic()
        answers.write_text(answers.read_text().replace('20.0', '21.0'))
        assert cluster.accept(answers).returncode == 0
        figures['in_force_s'] = time.monotonic() - began
        figures['leader_kill_s'] = leader_kill(cluster, http)
    return figures


def leader_kill(cluster, http):
    """Return the seconds from a leader's death to the next answer."""
    status = cluster.operate(
        'status', '--json', '--settings', cluster.operator_settings
    )
    documents = json.loads(status.stdout)
    leads = next(a for a, d in documents.items() if d['role'] == 'leader')
    cluster.kill(f'control-{cluster.controls.index(leads)}')
    began = time.monotonic()
    url = f'http://{cluster.entries["entry-a"]}{PATH}'

    def answered():
        try:
            return request(http, url, 4, 999_999)
        except (AssertionError, urllib3.exceptions.HTTPError):
            return None

    wait_until(answered, 'no answer')
    return time.monotonic() - began


if __name__ == '__main__':
    print(json.dumps(main(), indent=1))
