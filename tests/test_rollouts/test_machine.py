"""Orders and their repeats, and what entries make of the records."""

from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.messages.rollout_orders import AdvanceRollout, OrderRollout
from pistachiopath.rollouts.split import TrafficSplit
from pistachiopath.rollouts.state import RolloutStage, RolloutState
from pistachiopath.rollouts.store import RolloutStore

REPEAT_S = 6.0


class Log:
    """A store, whose changes are committed at once."""

    def __init__(self):
        self.store = RolloutStore()
        self.now = 50.0

    def order(self, to, serving=('v1',)):
        body = OrderRollout(service='s', to=to, duration_ms=9000, serving=serving)
        return self.store.apply_order(
            self.store.stamped(body, REPEAT_S, self.now), self.now
        )

    @property
    def record(self):
        return self.store.records['s']

    def advance(self, expected=None, **changes):
        body = AdvanceRollout(
            expected=self.record.serial if expected is None else expected,
            record=attrs.evolve(
                self.record,
                elapsed_ms=int(self.store.elapsed_s('s', self.now) * 1000),
                **changes,
            ),
        )
        self.store.apply_advance(body, self.now)

    def end(self, state):
        self.advance(state=state)


@pytest.fixture
def log():
    log = Log()
    assert not log.order('v2')
    return log


def test_a_repeat_of_an_active_rollout_changes_nothing(log):
    before = log.record
    log.now += 100
    assert not log.order('v2')
    assert log.record is before


def test_another_version_is_refused_while_a_rollout_is_active(log):
    assert log.order('v3')
    assert log.record.to == 'v2'


@pytest.mark.parametrize('state', [RolloutState.COMPLETE, RolloutState.ROLLED_BACK])
def test_a_late_repeat_does_not_start_a_rollout_again(log, state):
    log.now += 2
    log.end(state)
    log.now += REPEAT_S - 2.1
    assert not log.order('v2')
    assert log.record.state == state
    log.now += 0.2
    assert not log.order('v2')
    assert log.record.state == RolloutState.ACTIVE
    assert log.record.order == 2


def test_a_repeat_that_comes_after_the_next_order_is_acknowledged(log):
    # It was accepted, so its operator must not be told that another one is active.
    log.now += 1
    log.end(RolloutState.ROLLED_BACK)
    assert not log.order('v3')
    log.now += 1
    assert not log.order('v2')
    assert log.record.to == 'v3'
    log.now += REPEAT_S
    assert log.order('v2')


def test_an_order_that_was_stamped_before_the_rollout_ended_is_a_repeat(log):
    # Two leaders in a row may have stamped the same order.
    body = OrderRollout(service='s', to='v2', duration_ms=9000)
    early = log.store.stamped(body, REPEAT_S, log.now)
    log.now += 1
    log.end(RolloutState.ROLLED_BACK)
    log.now += 100
    log.store.apply_order(early, log.now)
    assert log.record.state == RolloutState.ROLLED_BACK


def test_a_change_of_an_older_record_changes_nothing(log):
    old = log.record.serial
    log.advance(share_ppm=5)
    log.advance(expected=old, share_ppm=7)
    assert log.record.share_ppm == 5
    log.end(RolloutState.COMPLETE)
    log.advance(state=RolloutState.ROLLED_BACK)
    assert log.record.state == RolloutState.COMPLETE


def test_the_time_since_the_order_does_not_drift_with_the_records(log):
    # Regression: each record lost the time of its commit, and deadlines were missed.
    for _ in range(20):
        log.now += 0.5
        late = AdvanceRollout(
            expected=log.record.serial,
            record=attrs.evolve(
                log.record, elapsed_ms=int(log.store.elapsed_s('s', log.now) * 1000)
            ),
        )
        log.now += 0.1
        log.store.apply_advance(late, log.now)
    assert log.store.elapsed_s('s', log.now) == pytest.approx(12.0)


def test_after_a_restart_the_time_goes_on_from_the_record(log):
    log.now += 3
    log.advance(share_ppm=5)
    restarted = RolloutStore()
    restarted.restore([log.record])
    restarted.turn(7.0)
    assert restarted.elapsed_s('s', 8.0) == pytest.approx(4.0)
    # Nothing tells yet whether the leader has changed it since.
    assert restarted.age_s('s', 8.0) > REPEAT_S


SERVING = {'v1': 4, 'v2': 4}


def split(log):
    result = TrafficSplit(contact_s=2.5, rng=random.Random(1))
    result.on_notices(log.store.notices(log.now), log.now)
    return result


def test_versions_that_were_replaced_or_rolled_back_get_nothing(log):
    log.end(RolloutState.ROLLED_BACK)
    assert split(log).allowed('s', SERVING, log.now) == {'v1'}
    assert split(log).allowed('s', {'v2': 1}, log.now) == {'v2'}
    log.order('v3')
    # The replicas of the version rolled back drain while the next rollout begins.
    serving = SERVING | {'v3': 1}
    log.advance(share_ppm=1)
    assert split(log).allowed('s', serving, log.now) == {'v1', 'v3'}
    log.end(RolloutState.COMPLETE)
    assert split(log).allowed('s', serving, log.now) == {'v3'}
    assert split(log).allowed('s', {'v1': 1}, log.now) == {'v1'}


def test_an_active_version_gets_nothing_without_contact(log):
    log.advance(share_ppm=1_000_000, stage=RolloutStage.FULL)
    entry = split(log)
    assert entry.allowed('s', SERVING, log.now) == {'v2'}
    assert entry.allowed('s', SERVING, log.now + 2.6) == {'v1'}
    assert entry.allowed('s', {'v2': 1}, log.now + 2.6) == {'v2'}
    # A control node that has lost contact itself does not help.
    entry.on_notices(log.store.notices(log.now + 2.6), log.now + 2.6)
    assert entry.allowed('s', SERVING, log.now + 2.6) == {'v1'}


def test_a_choice_stays_while_the_send_waits_and_repeats_count(log):
    log.advance(share_ppm=500_000)
    entry = split(log)
    first = entry.choose('s', 'r', 0, None)
    assert entry.choose('s', 'r', 0, first) is first
    second = entry.choose('s', 'r', 1, first)
    assert second.is_new != first.is_new


def test_the_canary_goes_to_the_same_few_replicas_at_all_entries(log):
    log.advance(share_ppm=40_000)
    names = [f'b{i}' for i in range(24)]
    serving = {'v1': 24, 'v2': 24}
    chosen = split(log).canaries('s', names, serving)
    assert len(chosen) == 1
    assert split(log).canaries('s', names[::-1], serving) == chosen
    log.advance(stage=RolloutStage.STEP, share_ppm=300_000)
    assert split(log).canaries('s', names, serving) == set(names)
