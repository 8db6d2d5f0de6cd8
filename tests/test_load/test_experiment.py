from __future__ import annotations

import random

import pytest

from pistachiopath.load.bound import min_prefill_tokens
from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import Experiment
from pistachiopath.load.plan import make_plan
from pistachiopath.load.policy import Policy
from pistachiopath.load.workload import PRAIRIE
from pistachiopath.routing.earliest_finish import EarliestFinish

PRODUCT_POLICY = Policy(
    name='product',
    make_chooser=lambda targets, rng: EarliestFinish(targets=targets, rng=rng),
    priorities=True,
)
DURATION_S = 12.0


def run_experiment(**condition):
    experiment = Experiment(
        workload=PRAIRIE,
        policy=PRODUCT_POLICY,
        condition=Condition(name='test', **condition),
        seed=1,
        duration_s=DURATION_S,
    )
    return experiment, experiment.run()


def test_equal_arguments_give_equal_results():
    assert [j.ended_at for j in run_experiment()[1]] == [
        j.ended_at for j in run_experiment()[1]
    ]


def test_engines_process_at_least_the_lower_bound():
    experiment, jobs = run_experiment()
    prefilled = sum(t.engine.prefill_tokens for t in experiment.targets.values())
    assert all(job.outcome == 'completed' for job in jobs)
    assert prefilled >= experiment.min_prefill_tokens()


def test_departing_target_completes_its_work_and_gets_no_new_work():
    experiment, jobs = run_experiment(departed='t4')
    assert all(job.in_time for job in jobs)
    late = [j for j in jobs if j.arrival.at > DURATION_S / 2 + 1.0]
    assert late
    assert all(job.target != 't4' for job in late)


def test_killed_target_loses_only_jobs_dispatched_to_it():
    _, jobs = run_experiment(killed='t4')
    lost = [job for job in jobs if job.outcome != 'completed']
    assert lost
    assert all(job.target == 't4' for job in lost)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_lower_bound_matches_naive_count(seed):
    plan = make_plan(PRAIRIE, seed=seed, duration_s=60.0)
    random.Random(seed).shuffle(plan)
    prompts = {}
    for arrival in plan:
        shared = arrival.document >= 0
        key = ('document', arrival.document) if shared else ('own', arrival.number)
        prompts[key] = arrival.prompt_tokens
    assert min_prefill_tokens(plan) == sum(prompts.values())
