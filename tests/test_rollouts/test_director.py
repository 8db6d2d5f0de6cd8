"""The leader's decisions one by one: standstills, new leaders, proposals."""

from __future__ import annotations

import attrs
import pytest

from pistachiopath.messages.rollout_orders import AdvanceRollout, OrderRollout
from pistachiopath.messages.rollout_totals import (
    OrderTotals,
    RolloutTotals,
    VersionTotals,
)
from pistachiopath.rollouts.bounds import RolloutBounds
from pistachiopath.rollouts.director import (
    PROPOSE_AGAIN_S,
    RENEW_INTERVAL_S,
    SETTLE_S,
    RolloutDirector,
)
from pistachiopath.rollouts.state import RolloutStage, RolloutState
from pistachiopath.rollouts.store import RolloutStore

BOUNDS = RolloutBounds(exposure_share=0.1)


class Leader:
    def __init__(self):
        self.now = 10.0
        self.ready = {'v1': 4, 'v2': 4}
        self.store = RolloutStore()
        order = OrderRollout(service='s', to='v2', duration_ms=20_000)
        self.store.apply_order(order, self.now)
        self.begin()

    def begin(self):
        self.director = RolloutDirector(
            bounds=BOUNDS, ready=lambda service, now: self.ready
        )

    @property
    def record(self):
        return self.store.records['s']

    def set(self, **changes):
        record = attrs.evolve(
            self.record,
            elapsed_ms=int(self.store.elapsed_s('s', self.now) * 1000),
            **changes,
        )
        body = AdvanceRollout(expected=self.record.serial, record=record)
        self.store.apply_advance(body, self.now)

    def proposals(self):
        return self.director.turn(self.store, self.now)

    def turn(self):
        for body in self.proposals():
            self.store.apply_advance(body, self.now)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.turn()

    def report(self, entry='e1', session=1, **numbers):
        rows = tuple(
            VersionTotals(
                version=version,
                route='r',
                sent=ok + failed,
                ended=ok + failed,
                answered=ok,
                failed=failed,
            )
            for version, (ok, failed) in numbers.items()
        )
        order = OrderTotals(service='s', order=self.record.order, versions=rows)
        body = RolloutTotals(session=session, orders=(order,))
        self.director.merge(entry, body, self.store, self.now)


@pytest.fixture
def leader():
    leader = Leader()
    leader.run(2.0)
    return leader


def in_stage(leader, stage):
    share_ppm = 1_000_000 if stage == RolloutStage.FULL else 300_000
    leader.report(v1=(900, 0), v2=(100, 0))
    leader.now += 1.0
    leader.set(
        stage=stage,
        stage_ms=int(leader.store.elapsed_s('s', leader.now) * 1000),
        share_ppm=share_ppm,
        step_ms=300,
        full_ms=300,
    )


@pytest.mark.parametrize('stage', [RolloutStage.STEP, RolloutStage.FULL])
def test_a_leader_that_stood_still_waits_for_new_totals(leader, stage):
    # A version may have turned bad meanwhile, and its totals are still to be read.
    in_stage(leader, stage)
    leader.now += 5.0
    leader.run(SETTLE_S - 0.2)
    assert leader.record.stage == stage
    assert leader.record.state == RolloutState.ACTIVE
    leader.report(v1=(900, 0), v2=(100, 60))
    leader.run(0.1)
    assert leader.record.state == RolloutState.ROLLED_BACK


@pytest.mark.parametrize('stage', [RolloutStage.STEP, RolloutStage.FULL])
def test_a_new_leader_waits_for_the_totals_of_entries(leader, stage):
    # It would take a version for free of runs and complete it.
    in_stage(leader, stage)
    leader.begin()
    leader.run(SETTLE_S - 0.1)
    assert leader.record.stage == stage
    assert leader.record.state == RolloutState.ACTIVE
    leader.run(1.0)
    assert (leader.record.stage, leader.record.state) != (stage, RolloutState.ACTIVE)


def test_the_record_is_renewed_and_not_proposed_twice(leader):
    leader.turn()
    leader.now += RENEW_INTERVAL_S
    (first,) = leader.proposals()
    leader.now += 0.05
    assert leader.proposals() == []
    # It may be lost with the leadership of another node.
    leader.now += PROPOSE_AGAIN_S
    (again,) = leader.proposals()
    assert again.expected == first.expected


def test_late_and_repeated_reports_change_nothing(leader):
    leader.report(v1=(900, 0), v2=(50, 0))
    leader.report(v1=(100, 0), v2=(10, 0))
    leader.report(v1=(900, 0), v2=(50, 0))
    leader.run(1.0)
    assert (leader.record.sent_new, leader.record.sent_all) == (50, 950)


def test_the_sends_of_a_former_run_of_an_entry_still_count(leader):
    leader.report(session=1, v1=(500, 0), v2=(50, 0))
    leader.report(session=2, v1=(10, 0), v2=(1, 0))
    leader.run(1.0)
    assert leader.record.sent_new == 51
    # A new leader hears of the second run only; the record knows of the first.
    leader.begin()
    leader.report(session=2, v1=(10, 0), v2=(1, 0))
    leader.run(SETTLE_S + 0.2)
    assert leader.record.sent_new == 51
    leader.report(session=2, v1=(30, 0), v2=(4, 0))
    leader.run(1.0)
    assert leader.record.sent_new == 54


def test_totals_of_another_order_are_ignored(leader):
    leader.set(state=RolloutState.ROLLED_BACK)
    order = OrderRollout(service='s', to='v3', duration_ms=9000)
    leader.store.apply_order(order, leader.now)
    rows = OrderTotals(service='s', order=1, versions=())
    body = RolloutTotals(session=1, orders=(rows,))
    leader.director.merge('e1', body, leader.store, leader.now)
    assert leader.record.order == 2
    leader.run(1.0)
    assert leader.record.state == RolloutState.ACTIVE


def test_a_few_failures_together_do_not_make_a_version_bad(leader):
    # An engine that ends fails its runs together, with any version.
    leader.report(v1=(900, 0), v2=(60, 8))
    leader.run(0.5)
    assert leader.record.state == RolloutState.ACTIVE
    leader.report(v1=(900, 0), v2=(60, 9))
    leader.run(0.5)
    assert leader.record.state == RolloutState.ROLLED_BACK


def test_failures_that_the_old_version_has_as_well_are_none_of_the_new_one(leader):
    leader.report(v1=(500, 400), v2=(60, 40))
    leader.run(0.5)
    assert leader.record.state == RolloutState.ACTIVE
