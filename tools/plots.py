"""Draws docs/plots from the cells of the last `make measure`."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt

from tools.measure import OUTPUT_PATH
from tools.measure_policies import ALL_CONDITIONS, POLICIES, WORKLOADS

PLOTS_FOLDER = Path('docs/plots')
FIGURES = (
    ('promised', 'goodput of promised tiers', (0.85, 1.005)),
    ('goodput all', 'goodput of all tiers', (0.85, 1.005)),
    ('wasted prefill', 'wasted prefill, share of all', None),
    ('first token p95', 'first token of small promised work, p95 s', None),
    ('token gap p95', 'between tokens of small promised work, p95 s', None),
)
BAR_WIDTH = 0.15
METADATA = {'Date': None, 'Creator': None}


def draw(cells, workload, figure, label, limits):
    """Write one plot: a group of bars for each condition."""
    conditions = list(dict.fromkeys(c.name for c in ALL_CONDITIONS))
    fig, axes = plt.subplots(figsize=(9, 3.2), layout='constrained')
    for number, policy in enumerate(POLICIES):
        values = [cells[f'{workload} {c} {policy}'][figure] for c in conditions]
        positions = [
            position + number * BAR_WIDTH for position in range(len(conditions))
        ]
        axes.bar(positions, values, BAR_WIDTH, label=policy)
    center = BAR_WIDTH * (len(POLICIES) - 1) / 2
    axes.set_xticks([p + center for p in range(len(conditions))], conditions)
    axes.set_ylabel(label, fontsize=8)
    axes.set_title(workload, fontsize=9, loc='left')
    if limits:
        axes.set_ylim(*limits)
    fig.legend(fontsize=7, ncols=len(POLICIES), loc='outside upper right')
    name = f'{workload}-{figure.replace(" ", "-")}.svg'
    fig.savefig(PLOTS_FOLDER / name, metadata=METADATA)
    plt.close(fig)


def main():
    """Draw every plot."""
    mpl.rcParams['svg.hashsalt'] = 'pistachiopath'
    PLOTS_FOLDER.mkdir(parents=True, exist_ok=True)
    cells = json.loads(OUTPUT_PATH.read_text())['cells']
    for workload in WORKLOADS:
        for figure, label, limits in FIGURES:
            draw(cells, workload, figure, label, limits)


if __name__ == '__main__':
    main()
