from __future__ import annotations

import attrs
import pytest

from tools.soak.fault_kind import (
    PLANNED_KINDS,
    USUAL_KINDS,
    WHOLE_RELEASES,
    FaultKind,
)
from tools.soak.plan import make_plan
from tools.soak.topology import Topology

TOPOLOGY = Topology.of_size(1)
LENGTH_S = 60.0


def test_a_seed_makes_the_same_plan_each_time():
    other = attrs.evolve(TOPOLOGY, network='127.9')
    for seed in range(20):
        plan = make_plan(seed, LENGTH_S, TOPOLOGY, PLANNED_KINDS)
        assert plan == make_plan(seed, LENGTH_S, other, PLANNED_KINDS)
        assert plan != make_plan(seed + 1, LENGTH_S, TOPOLOGY, PLANNED_KINDS)


def test_faults_follow_one_another_and_overlap_and_end_in_time():
    overlaps = 0
    for seed in range(20):
        faults = make_plan(seed, LENGTH_S, TOPOLOGY, PLANNED_KINDS).faults
        assert list(faults) == sorted(faults, key=lambda f: f.at_s)
        assert all(f.at_s + f.for_s <= LENGTH_S for f in faults)
        pairs = zip(faults, faults[1:], strict=False)
        overlaps += sum(b.at_s < a.at_s + a.for_s for a, b in pairs)
    assert overlaps > 20


@pytest.mark.parametrize(
    'kinds', [PLANNED_KINDS, USUAL_KINDS, {FaultKind.RELEASE, FaultKind.REPLICA_SILENT}]
)
def test_all_kinds_that_are_asked_for_are_planned_and_no_others(kinds):
    plans = [make_plan(seed, LENGTH_S, TOPOLOGY, kinds) for seed in range(30)]
    assert {fault.kind for plan in plans for fault in plan.faults} == kinds


def test_releases_of_a_whole_service_do_not_overlap():
    for seed in range(20):
        faults = make_plan(seed, LENGTH_S, TOPOLOGY, WHOLE_RELEASES).faults
        assert len(faults) > 3
        for first, second in zip(faults, faults[1:], strict=False):
            assert second.at_s >= first.at_s + first.for_s


def test_most_of_the_core_is_never_disturbed_by_two_faults_of_a_group():
    for seed in range(50):
        faults = make_plan(seed, LENGTH_S, TOPOLOGY, PLANNED_KINDS).faults
        core = [f for f in faults if f.kind.startswith(('control_', 'core_'))]
        for first, second in zip(core, core[1:], strict=False):
            assert second.at_s >= first.at_s + first.for_s
