"""Figures of one experiment: goodput, waste, latency, fairness, recovery."""

from __future__ import annotations

import statistics
from collections import defaultdict

from pistachiopath.load.experiment import WARM_UP_S
from pistachiopath.load.report import quantile

SMALL_PROMPT_TOKENS = 512
RECOVERY_WINDOW_S = 5.0
RECOVERED_RATIO = 1.5


def figures_of(experiment, jobs):
    """Return every figure of a run by its name."""
    promised = [j for j in jobs if j.arrival.kind.promised]
    small = [j for j in promised if j.arrival.prompt_tokens <= SMALL_PROMPT_TOKENS]
    prefilled = sum(t.engine.prefill_tokens for t in experiment.targets.values())
    late_prefill_tokens = sum(
        j.arrival.prompt_tokens for j in jobs if completed_late(j)
    )
    figures = {'promised': goodput(promised)}
    for tier in sorted({j.arrival.kind.tier for j in jobs}):
        own = [j for j in jobs if j.arrival.kind.tier == tier]
        figures[f'goodput {tier}'] = goodput(own)
    figures['goodput all'] = goodput(jobs)
    figures['promised shed beside lower'] = experiment.shed_while_lower_ran
    figures['fairness'] = fairness(promised)
    wasted = experiment.wasted_tokens + late_prefill_tokens
    figures['wasted prefill'] = wasted / max(1, prefilled)
    figures['prefill to bound'] = prefilled / experiment.min_prefill_tokens()
    first = first_tokens(experiment, small)
    gaps = token_gaps(experiment, small)
    for name, quant in (('p50', 0.5), ('p95', 0.95), ('p99', 0.99)):
        figures[f'first token {name}'] = quantile(first, quant)
        figures[f'token gap {name}'] = quantile(gaps, quant)
    figures['recovery'] = recovery(small, experiment.slowed_at)
    return figures


def goodput(jobs):
    return sum(j.in_time for j in jobs) / max(1, len(jobs))


def completed_late(job):
    return job.outcome == 'completed' and not job.in_time


def fairness(jobs):
    """Return the ratio of the slowest to the fastest customer's mean time.

    Times are relative to each request's deadline, so that customers with
    different kinds of work are comparable.
    """
    times = defaultdict(list)
    for job in jobs:
        elapsed_s = job.ended_at - job.arrival.at
        times[job.arrival.customer].append(elapsed_s / job.arrival.kind.deadline_s)
    means = [statistics.mean(own) for own in times.values() if len(own) > 3]
    return max(means) / min(means) if means else 1.0


def first_tokens(experiment, jobs):
    """Return the seconds to the first token of requests that had one."""
    seconds = []
    for job in jobs:
        for target in experiment.targets.values():
            at = target.first_token_at.get(job.submission.key)
            if at is not None:
                seconds.append(at - job.arrival.at)
    return seconds


def token_gaps(experiment, jobs):
    """Return the seconds between consecutive tokens of all requests."""
    gaps = []
    for job in jobs:
        for target in experiment.targets.values():
            gaps += target.token_gaps.get(job.submission.key, ())
    return gaps


def recovery(jobs, slowed_at):
    """Return the seconds from a straggler's slow-down until latency recovers.

    The mean time of the requests that arrive in each window of some seconds is
    compared with the mean of those before the slow-down.
    """
    before = [elapsed_s(j) for j in jobs if WARM_UP_S <= j.arrival.at < slowed_at]
    baseline_mean_s = statistics.mean(before) if before else 0.0
    windows = defaultdict(list)
    for job in jobs:
        if job.arrival.at >= slowed_at:
            number = int((job.arrival.at - slowed_at) // RECOVERY_WINDOW_S)
            windows[number].append(elapsed_s(job))
    slow_windows = [
        number
        for number, times in windows.items()
        if statistics.mean(times) > RECOVERED_RATIO * baseline_mean_s
    ]
    return (max(slow_windows) + 1) * RECOVERY_WINDOW_S if slow_windows else 0.0


def elapsed_s(job):
    return job.ended_at - job.arrival.at
