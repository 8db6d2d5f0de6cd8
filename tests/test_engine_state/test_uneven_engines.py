"""Several entries and engines in virtual time; speeds change as in deployment B."""

from __future__ import annotations

import collections
import functools
import statistics

import pytest

from tests.harness.gate_jobs import JobKind
from tests.harness.uneven_world import UnevenWorld

# The rates, and times at nominal speed, are those of deployment B: 54 tokens of 4 ms
# are 216 ms.
KINDS = (
    JobKind(
        tier=0,
        share=131,
        prompts=(300, 900, 2400),
        outputs=(90, 216, 350),
        objective_s=0.55,
    ),
    JobKind(
        tier=1,
        share=89,
        prompts=(200, 600, 1450),
        outputs=(40, 94, 150),
        objective_s=0.427,
    ),
    JobKind(
        tier=2,
        share=77,
        prompts=(100, 200, 420),
        outputs=(400, 1000, 1900),
        objective_s=0.421,
        timeout_s=15.0,
    ),
)
SEEDS = range(8)
LOAD = 0.6
WINDOW_S = 0.3

REPORTS = {
    'all': lambda name, now: True,
    'none': lambda name, now: False,
    'half of the engines': lambda name, now: int(name[1:-2]) % 2 == 0,
    'with gaps': lambda name, now: int(now * 2) % 2 == 0,
}


@functools.cache
def played(reports):
    """Return the mean time to first events in ms, and the peak share of an engine.

    The share is that of the requests that begin within 0.3 s.
    """
    first_ms, peaks = [], []
    for seed in SEEDS:
        with pytest.MonkeyPatch.context() as patch:
            world = UnevenWorld(
                patch,
                switch=reports is not None,
                has_report=REPORTS.get(reports),
                seed=seed,
                entries=16,
                gates=14,
                kinds=KINDS,
                slots=8,
            )
            world.play(10.0, LOAD)
        first_ms.append(world.mean_first_ms())
        peaks.append(peak_share(world.jobs))
    return statistics.mean(first_ms), statistics.mean(peaks)


def peak_share(jobs):
    windows = collections.defaultdict(collections.Counter)
    for job in jobs:
        if job.candidate is not None:
            replica = job.candidate.record.replica
            windows[int(job.arrived_at / WINDOW_S)][replica] += 1
    shares = [
        max(counts.values()) / counts.total()
        for counts in windows.values()
        if counts.total() >= 20
    ]
    return statistics.mean(shares)


def test_callers_get_their_first_events_earlier():
    assert played('all')[0] < 0.97 * played(None)[0]


@pytest.mark.parametrize('reports', ['half of the engines', 'with gaps'])
def test_callers_get_their_first_events_earlier_while_reports_are_missing(reports):
    assert played(reports)[0] < played(None)[0]


def test_without_any_report_callers_wait_no_longer_than_before():
    assert played('none')[0] < 1.02 * played(None)[0]


def test_entries_do_not_all_go_to_one_engine():
    # An over-reaction of all entries to one report would overload the others.
    assert played('all')[1] < 1.1 * played(None)[1]
