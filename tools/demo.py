"""Runs both users' kinds of work through a whole deployment on loopback."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from tools.cluster import Cluster
from tools.spans import read_spans, tree

DURATION_S = 10.0
ENGINES = {
    'engine-1': (6, {}),
    'engine-2': (10, {'decode_tokens_s': 120.0, 'prefill_tokens_s': 8000.0}),
    'engine-3': (16, {'decode_tokens_s': 200.0, 'prefill_tokens_s': 16000.0}),
}
DEPLOYMENTS = {
    'ankobra': ('spill-report', ['site-records', 'alerts']),
    'prairie': ('proofreader', ['payments', 'accounts']),
}


def start(cluster: Cluster, model: str, services: list[str]):
    """Start three control replicas, two entries, agents and their engines."""
    cluster.start_controls()
    for number, (name, (window, profile)) in enumerate(ENGINES.items()):
        cluster.start_engine(name, profile=profile)
        cluster.start_agent(name, models=[model], zone=f'dc{number}', window=window)
    cluster.start_service('plain')
    cluster.start_agent('plain', services=services)
    for number in range(2):
        cluster.start_entry(f'entry-{number}', zone=f'dc{number}')


def run_load_tool(cluster: Cluster, workload: str) -> int:
    """Run the load tool; return its exit code."""
    path = cluster.write(
        'load',
        entries=list(cluster.entries.values()),
        workload=workload,
        key_prefix='example-key-of-',
        duration_s=DURATION_S,
    )
    command = [sys.executable, '-m', 'pistachiopath.load.main', '--settings', str(path)]
    return subprocess.run(command, check=False).returncode


def largest_trace(spans: list[dict]) -> str:
    """Return the trace with the most spans."""
    counts: dict[str, int] = {}
    for span in spans:
        trace_id = span['context']['trace_id']
        counts[trace_id] = counts.get(trace_id, 0) + 1
    return max(counts, key=counts.get)


def run(workload: str, folder: Path) -> bool:
    """Run one user's deployment; tell whether all requests and exits succeeded."""
    model, services = DEPLOYMENTS[workload]
    print(f'== {workload}: starting', flush=True)
    with Cluster(folder=folder, traces=True) as cluster:
        start(cluster, model, services)
        result = cluster.accept(Path(f'examples/{workload}.toml'))
        print(result.stdout + result.stderr, end='')
        if result.returncode:
            return False
        cluster.wait_ready()
        code = run_load_tool(cluster, workload)
        codes = cluster.stop_all()
    spans = read_spans(folder)
    text = tree(spans, largest_trace(spans))
    (folder / 'span-tree.txt').write_text(text + '\n')
    print(f'one request:\n{text}')
    print(f'stopped gracefully: {set(codes.values()) == {0}}')
    print(f'logs, spans and span-tree.txt: {folder}')
    return code == 0 and set(codes.values()) == {0}


def main() -> int:
    """Run both deployments; return 1 if any of them failed."""
    succeeded = True
    for workload in DEPLOYMENTS:
        succeeded &= run(workload, Path(tempfile.mkdtemp(prefix=f'{workload}-')))
    print('all deployments succeeded' if succeeded else 'A DEPLOYMENT FAILED')
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(main())
