from __future__ import annotations

import random

import pytest

from pistachiopath.load.bound import least_prefill
from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import Experiment
from pistachiopath.load.plan import make_plan
from pistachiopath.load.policy import Policy
from pistachiopath.load.workload import PRAIRIE
from pistachiopath.routing.earliest_finish import EarliestFinish

PRODUCT = Policy(
    name='product',
    make_chooser=lambda targets, rng: EarliestFinish(targets=targets, rng=rng),
    priorities=True,
)
SHORT_S = 12.0


def play(**condition):
    experiment = Experiment(
        workload=PRAIRIE,
        policy=PRODUCT,
        condition=Condition(name='test', **condition),
        seed=1,
        duration_s=SHORT_S,
    )
    return experiment, experiment.run()


def test_equal_arguments_give_equal_runs():
    assert [j.ended_at for j in play()[1]] == [j.ended_at for j in play()[1]]


def test_no_engine_processes_less_than_the_bound():
    experiment, jobs = play()
    prefilled = sum(t.engine.prefill_tokens for t in experiment.targets.values())
    assert all(job.outcome == 'completed' for job in jobs)
    assert prefilled >= experiment.least_prefill()


def test_a_departing_target_ends_what_it_runs_and_gets_no_more():
    experiment, jobs = play(departed='t4')
    assert all(job.in_time for job in jobs)
    late = [j for j in jobs if j.arrival.at > SHORT_S / 2 + 1.0]
    assert late
    assert all(job.target != 't4' for job in late)


def test_a_killed_target_takes_no_more_than_it_was_given():
    _, jobs = play(killed='t4')
    lost = [job for job in jobs if job.outcome != 'completed']
    assert lost
    assert all(job.target == 't4' for job in lost)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_the_bound_is_that_of_the_naive_count(seed):
    plan = make_plan(PRAIRIE, seed=seed, duration_s=60.0)
    random.Random(seed).shuffle(plan)
    prompts = {}
    for arrival in plan:
        own = arrival.document >= 0
        key = ('document', arrival.document) if own else ('own', arrival.number)
        prompts[key] = arrival.prompt_tokens
    assert least_prefill(plan) == sum(prompts.values())
