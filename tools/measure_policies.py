"""Compares policies over virtual time, all in one run."""

from __future__ import annotations

import argparse
import statistics
from collections import defaultdict
from multiprocessing import Pool

from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import Experiment
from pistachiopath.load.policy import Policy
from pistachiopath.load.report import quantile
from pistachiopath.load.workload import WORKLOADS
from pistachiopath.routing.baselines import (
    LeastReportedLoad,
    RandomChooser,
    RoundRobin,
    ShortestOwnQueue,
)
from pistachiopath.routing.earliest_finish import EarliestFinish

DURATION_S = 60.0
RATE_SCALE = 2.0
SEEDS = (1, 2, 3)
WORKERS = 7
CONDITIONS = (
    Condition(name='normal'),
    Condition(name='burst', burst=2.0),
    Condition(name='straggler', straggler=True),
    Condition(name='killed', killed=True),
    Condition(name='stale', report_lag_s=2.0),
    Condition(name='overload', scale=3.0),
)


def chooser(cls):
    return lambda targets, rng: cls(targets=targets, rng=rng)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy(name='random', make_chooser=chooser(RandomChooser), priorities=False),
        Policy(name='round-robin', make_chooser=chooser(RoundRobin), priorities=False),
        Policy(
            name='least-load',
            make_chooser=chooser(LeastReportedLoad),
            priorities=False,
        ),
        Policy(
            name='own-queue', make_chooser=chooser(ShortestOwnQueue), priorities=False
        ),
        Policy(name='product', make_chooser=chooser(EarliestFinish), priorities=True),
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
    figures = {}
    promised = [j for j in jobs if j.arrival.kind.promised]
    figures['promised'] = share(promised)
    for tier in sorted({j.arrival.kind.tier for j in jobs}):
        own = [j for j in jobs if j.arrival.kind.tier == tier]
        figures[f'goodput {tier}'] = share(own)
    figures['goodput all'] = share(jobs)
    figures['promised shed beside lower'] = experiment.shed_beside_lower
    figures['fairness'] = fairness(promised)
    prefilled = sum(t.engine.prefill_tokens for t in experiment.targets.values())
    useless = sum(j.arrival.prompt_tokens for j in jobs if ran_in_vain(j))
    wasted = experiment.wasted_tokens + useless
    figures['wasted prefill'] = wasted / max(1, prefilled)
    first = first_tokens(experiment, promised)
    figures['first token p50'] = quantile(first, 0.5)
    figures['first token p95'] = quantile(first, 0.95)
    return (workload, condition.name, policy), figures


def share(jobs):
    return sum(j.in_time for j in jobs) / max(1, len(jobs))


def fairness(jobs):
    """Return the slowest customer's mean time over the quickest one's.

    Times are shares of each request's deadline, so that customers with
    other kinds of work compare.
    """
    times = defaultdict(list)
    for job in jobs:
        took = job.ended_at - job.arrival.at
        times[job.arrival.customer].append(took / job.arrival.kind.deadline_s)
    means = [statistics.mean(own) for own in times.values() if len(own) > 3]
    return max(means) / min(means) if means else 1.0


def ran_in_vain(job):
    return job.outcome == 'completed' and not job.in_time


def first_tokens(experiment, jobs):
    """Seconds to the first token of small promised requests."""
    seconds = []
    for job in jobs:
        if job.arrival.prompt_tokens > 512:
            continue
        for target in experiment.targets.values():
            at = target.first_token_at.get(job.submission.key)
            if at is not None:
                seconds.append(at - job.arrival.at)
    return seconds


def compare(policies=tuple(POLICIES)):
    """Return the mean figures of every cell, all seeds in one run."""
    cells = [
        (workload, condition, policy, seed)
        for workload in WORKLOADS
        for condition in CONDITIONS
        for policy in policies
        for seed in SEEDS
    ]
    collected = defaultdict(lambda: defaultdict(list))
    with Pool(WORKERS) as pool:
        for key, figures in pool.imap(measure, cells):
            for name, value in figures.items():
                collected[key][name].append(value)
    return {
        ' '.join(key): {n: statistics.mean(v) for n, v in figures.items()}
        for key, figures in collected.items()
    }


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
