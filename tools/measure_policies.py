"""Compares policies in virtual time, all in one run."""

from __future__ import annotations

import argparse
import statistics
from collections import defaultdict
from multiprocessing import Pool

from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import Experiment
from pistachiopath.load.policy import Policy
from pistachiopath.load.workload import WORKLOADS
from pistachiopath.routing.baselines import (
    LeastReportedLoad,
    RandomChooser,
    RoundRobin,
    ShortestOwnQueue,
)
from pistachiopath.routing.earliest_finish import EarliestFinish
from tools.policy_figures import figures_of

DURATION_S = 60.0
RATE_SCALE = 2.0
SEEDS = (1, 2, 3)
WORKER_COUNT = 7
CONDITIONS = (
    Condition(name='normal'),
    Condition(name='burst', burst=2.0),
    Condition(name='straggler', straggler='t4'),
    Condition(name='killed', killed='t2'),
    Condition(name='departed', departed='t4'),
    Condition(name='emptied', emptied='t4'),
    Condition(name='stale', report_lag_s=2.0),
    Condition(name='overload', scale=3.0),
)
# The work lost with a killed target varies by chance, so each is killed once.
KILLED_EACH = tuple(Condition(name='killed any', killed=f't{n}') for n in range(10))
ALL_CONDITIONS = CONDITIONS + KILLED_EACH


def chooser_factory(cls):
    return lambda targets, rng: cls(targets=targets, rng=rng)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy(
            name='random', make_chooser=chooser_factory(RandomChooser), priorities=False
        ),
        Policy(
            name='round-robin',
            make_chooser=chooser_factory(RoundRobin),
            priorities=False,
        ),
        Policy(
            name='least-load',
            make_chooser=chooser_factory(LeastReportedLoad),
            priorities=False,
        ),
        Policy(
            name='own-queue',
            make_chooser=chooser_factory(ShortestOwnQueue),
            priorities=False,
        ),
        Policy(
            name='product',
            make_chooser=chooser_factory(EarliestFinish),
            priorities=True,
        ),
    )
}


def measure(cell):
    """Run one cell; return it with its figures."""
    workload, condition, policy, seed = cell
    experiment = Experiment(
        workload=WORKLOADS[workload],
        policy=POLICIES[policy],
        condition=condition,
        seed=seed,
        duration_s=DURATION_S,
        rate_scale=RATE_SCALE,
    )
    jobs = experiment.run()
    return (workload, condition.name, policy), figures_of(experiment, jobs)


def compare(policies=tuple(POLICIES)):
    """Return the mean figures of every cell, all seeds in one run.

    `spread of <name>` is the range of a figure, largest minus smallest.
    """
    conditions = [(c, seed) for c in CONDITIONS for seed in SEEDS]
    conditions += [(c, SEEDS[0]) for c in KILLED_EACH]
    cells = [
        (workload, condition, policy, seed)
        for workload in WORKLOADS
        for condition, seed in conditions
        for policy in policies
    ]
    collected = defaultdict(lambda: defaultdict(list))
    with Pool(WORKER_COUNT) as pool:
        for key, figures in pool.imap(measure, cells):
            for name, value in figures.items():
                collected[key][name].append(value)
    return {
        ' '.join(key): means_and_spreads(figures) for key, figures in collected.items()
    }


def means_and_spreads(figures):
    means = {name: statistics.mean(values) for name, values in figures.items()}
    spreads = {f'spread of {n}': max(v) - min(v) for n, v in figures.items()}
    return means | spreads


def main():
    """Print the mean figures of every cell."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=list(POLICIES), help='one policy alone')
    only = parser.parse_args().only
    for key, figures in compare([only] if only else tuple(POLICIES)).items():
        text = '  '.join(f'{n}={v:.3f}' for n, v in figures.items())
        print(f'{key:<32} {text}')


if __name__ == '__main__':
    main()
