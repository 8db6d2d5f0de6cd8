"""Prints every measure with its target and verdict, and writes them as JSON."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from tools import measure_decisions, measure_policies
from tools.capacity import fit, run_module
from tools.probe import loop_s

OUTPUT_PATH = Path('out/measure.json')
ONE_WAY_TRIPS = 6
ONE_WAY_MS = 1.5
NODE_REQUESTS_PER_S = 58
NODE_TOKENS_PER_S = 18_400
RATED_CONDITIONS = ('normal', 'stale')
# The bound is a scheduler with full knowledge, which completes all promised
# work in time as long as it fits.
MAX_BELOW_BOUND = 0.01


def path_measures():
    """Yield name, value, unit and target of each measure of the whole path."""
    path = run_module('measure_path')
    added = (path['first_byte_path'] - path['first_byte_direct']) * 1000
    yield 'first_byte_added_p95', added + ONE_WAY_TRIPS * ONE_WAY_MS, 'ms', 15.0
    points = {n: path[f'relay_{n}']['entry-a'] for n in (4, 64, 256, 1024)}
    token_s, request_s, _ = fit(points)
    cores = NODE_REQUESTS_PER_S * request_s + NODE_TOKENS_PER_S * token_s
    yield 'entry_core_share_at_node_load', cores, 'cores', 1.0
    for name in ('entry-a', 'agent-fast'):
        yield f'memory_idle_{name}', path[f'idle_rss_{name}'], 'MB', 64.0
        loaded = path['relay_1024'][f'loaded_rss_{name}']
        yield f'memory_loaded_{name}', loaded, 'MB', 64.0
        yield f'idle_core_share_{name}', path[f'idle_cpu_{name}'], 'cores', 0.017
    yield 'idle_bytes_entry-a', path['idle_bytes_per_s'], 'B/s', 3000.0
    yield 'configuration_in_force', path['in_force_s'], 's', 4.0
    yield 'answers_after_leader_kill', path['leader_kill_s'], 's', 2.0


def decision_measures():
    """Yield the cost of routing decisions."""
    costs = measure_decisions.main()
    yield 'decision_20_targets', costs[20], 'us', 100.0
    yield 'decision_11000_to_20_targets', costs[11_000] / costs[20], 'ratio', 2.2


def policy_measures(cells):
    """Yield the product's figures relative to the baselines, for each cell."""
    names = dict.fromkeys(c.name for c in measure_policies.ALL_CONDITIONS)
    for workload in measure_policies.WORKLOADS:
        for condition in names:
            yield from cell_measures(cells, workload, condition)
        normal = cells[f'{workload} normal product']
        overload = cells[f'{workload} overload product']
        lost = max(0.0, normal['promised'] - overload['promised'])
        yield f'{workload}: promised goodput lost at x3', lost, 'share', 0.0


def cell_measures(cells, workload, condition):
    """Yield the figures of one workload under one condition."""
    cell = f'{workload} {condition}'
    product = cells[f'{cell} product']
    best = max(
        cells[f'{cell} {name}']['promised']
        for name in measure_policies.POLICIES
        if name != 'product'
    )
    lost = max(0.0, best - product['promised'])
    yield f'{cell}: promised goodput below best baseline', lost, 'share', 0.0
    shortfall = max(0.0, 1.0 - product['promised'])
    yield f'{cell}: promised goodput below bound', shortfall, 'share', MAX_BELOW_BOUND
    shed = product['promised shed beside lower']
    yield f'{cell}: promised shed while tags are served', shed, 'requests', 0.0
    least = cells[f'{cell} least-load']['wasted prefill']
    ratio = product['wasted prefill'] / least
    yield f'{cell}: wasted prefill to least-load', ratio, 'ratio', 0.25
    if condition in RATED_CONDITIONS:
        first = product['first token p95']
        yield f'{cell}: small promised first token p95', first, 's', 0.49
        gap = product['token gap p95'] * 1000
        yield f'{cell}: small promised token gap p95', gap, 'ms', 30.0
        bound = product['prefill to bound']
        yield f'{cell}: prefill to bound', bound, 'ratio', 1.2
    if condition == 'straggler':
        yield f'{cell}: recovery', product['recovery'], 's', 10.0


def main():
    """Print and write the measures; return 0 whatever their verdicts."""
    print(f'# ten million additions take {loop_s():.2f} s on this machine')
    cells = measure_policies.compare()
    measures = [*path_measures(), *decision_measures(), *policy_measures(cells)]
    records = []
    for name, value, unit, target in measures:
        verdict = 'met' if value <= target else 'missed'
        print(f'{name} {value:.4g} {unit} {target:g} {verdict}')
        records.append(
            {
                'name': name,
                'value': value,
                'unit': unit,
                'target': target,
                'verdict': verdict,
            }
        )
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(
        json.dumps({'measures': records, 'cells': cells}, indent=1) + '\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
