"""Measures the whole path of a request with real processes on loopback."""

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

FAST_PROFILE = {
    'decode_tokens_s': 2000.0,
    'prefill_tokens_s': 200000.0,
    'max_batch': 64,
}
CUSTOMERS = (
    'town-press',
    'school-board',
    'lakeside-books',
)
IDLE_DURATION_S = 5.0
COMPLETIONS_PATH = '/v1/chat/completions'


def send_request(http, url, tokens, number):
    """Send one streamed request; return the seconds to its first byte and its end."""
    body = {
        'model': 'style-answer',
        'messages': [{'role': 'user', 'content': f'measure {number}'}],
        'max_tokens': tokens,
        'stream': True,
    }
    customer = CUSTOMERS[number % len(CUSTOMERS)]
    headers = {'Authorization': f'Bearer example-key-of-{customer}'}
    started_at = time.monotonic()
    response = http.request(
        'POST', url, body=json.dumps(body), headers=headers, preload_content=False
    )
    data = response.read1()
    time_to_first_byte_s = time.monotonic() - started_at
    data += response.read()
    response.release_conn()
    assert response.status == 200 and data.endswith(b'[DONE]\n\n'), data[-200:]
    return time_to_first_byte_s, time.monotonic() - started_at


LINK_BYTES = (
    'pistachiopath_link_sent_bytes_total',
    'pistachiopath_link_received_bytes_total',
)


def link_bytes(http, address):
    """Return the bytes that a process sent and received on its links."""
    text = http.request('GET', f'http://{address}/metrics').data.decode()
    lines = [line.split() for line in text.splitlines()]
    return sum(int(words[1]) for words in lines if words[0] in LINK_BYTES)


def measure_idle(cluster, http):
    """Return the processor, memory and link use of idle processes."""
    entry = cluster.entries['entry-a']
    names = ('entry-a', 'agent-fast', 'control-0', 'control-1', 'control-2')
    pids = {name: cluster.processes[name].pid for name in names}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    before_bytes = link_bytes(http, entry)
    time.sleep(IDLE_DURATION_S)
    figures = {
        f'idle_cpu_{name}': (cpu_s(pid) - before[name]) / IDLE_DURATION_S
        for name, pid in pids.items()
    }
    exchanged_bytes = link_bytes(http, entry) - before_bytes
    figures['idle_bytes_per_s'] = exchanged_bytes / IDLE_DURATION_S
    figures |= {f'idle_rss_{name}': rss_mb(pid) for name, pid in pids.items()}
    return figures


def measure_first_byte(cluster, http, number=60):
    """Return the p95 seconds to the first byte, through the path and directly."""
    path_url = f'http://{cluster.entries["entry-a"]}{COMPLETIONS_PATH}'
    direct_url = f'http://{cluster.engines["fast"]}{COMPLETIONS_PATH}'
    p95_by_path = {}
    for name, url in (('path', path_url), ('direct', direct_url)):
        seconds = [send_request(http, url, 4, n)[0] for n in range(number)]
        p95_by_path[name] = quantile(seconds, 0.95)
    return p95_by_path


def measure_relay(cluster, http, tokens, number, concurrency):
    """Return processor seconds per request, memory and request rate under load."""
    url = f'http://{cluster.entries["entry-a"]}{COMPLETIONS_PATH}'
    pids = {n: cluster.processes[n].pid for n in ('entry-a', 'agent-fast')}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    pool = gevent.pool.Pool(concurrency)
    started_at = time.monotonic()
    list(
        pool.imap_unordered(lambda n: send_request(http, url, tokens, n), range(number))
    )
    elapsed_s = time.monotonic() - started_at
    cpu_by_process = {
        name: (cpu_s(p) - before[name]) / number for name, p in pids.items()
    }
    rss_by_process = {f'loaded_rss_{name}': rss_mb(pid) for name, pid in pids.items()}
    return cpu_by_process | rss_by_process | {'requests_per_s': number / elapsed_s}


def main():
    """Return all figures."""
    figures = {}
    http = urllib3.PoolManager(retries=False, maxsize=128, timeout=60.0)
    with tempfile.TemporaryDirectory() as name, Cluster(folder=Path(name)) as cluster:
        cluster.start_controls()
        cluster.start_engine('fast', profile=FAST_PROFILE)
        cluster.start_agent('fast', models=['proofreader'], window=64)
        cluster.start_entry('entry-a', log_level='warning')
        answers = Path(name) / 'answers.toml'
        text = Path('examples/prairie.toml').read_text()
        answers.write_text(
            text.replace('size = "small"', 'size = "large"').replace(
                'size = "medium"', 'size = "large"'
            )
        )
        started_at = time.monotonic()
        assert cluster.accept(answers).returncode == 0
        cluster.wait_ready()
        figures['start_s'] = time.monotonic() - started_at
        figures |= {
            f'first_byte_{k}': v for k, v in measure_first_byte(cluster, http).items()
        }
        figures |= measure_idle(cluster, http)
        time.sleep(2.0)
        for tokens in (4, 64, 256, 1024):
            number = 200 if tokens < 200 else 60
            figures[f'relay_{tokens}'] = measure_relay(
                cluster, http, tokens, number, 16
            )
            time.sleep(2.0)
        started_at = time.monotonic()
        answers.write_text(answers.read_text().replace('20.0', '21.0'))
        assert cluster.accept(answers).returncode == 0
        figures['in_force_s'] = time.monotonic() - started_at
        figures['leader_kill_s'] = measure_leader_kill(cluster, http)
    return figures


def measure_leader_kill(cluster, http):
    """Return the seconds from the kill of the leader to the next answer."""
    status = cluster.operate(
        'status', '--json', '--settings', cluster.operator_settings
    )
    documents = json.loads(status.stdout)
    leader = next(a for a, d in documents.items() if d['role'] == 'leader')
    cluster.kill(f'control-{cluster.controls.index(leader)}')
    started_at = time.monotonic()
    url = f'http://{cluster.entries["entry-a"]}{COMPLETIONS_PATH}'

    def try_request():
        try:
            return send_request(http, url, 4, 999_999)
        except (AssertionError, urllib3.exceptions.HTTPError):
            return None

    wait_until(try_request, 'no answer')
    return time.monotonic() - started_at


if __name__ == '__main__':
    print(json.dumps(main(), indent=1))
