"""Rollouts under load in virtual time: good and bad versions, and failures."""

from __future__ import annotations

import pytest

from pistachiopath.rollouts.state import RolloutStage, RolloutState
from tests.harness.rollout_world import BOUNDS, NEW, OLD, RolloutWorld

SEEDS = range(8)
RATES = [(8.0, 12.0), (40.0, 12.0), (300.0, 8.0), (300.0, 12.0), (250.0, 30.0)]


def check_bad(world):
    assert world.record.state == RolloutState.ROLLED_BACK, world.states
    sent, bound = world.exposure()
    assert sent <= bound
    if len(world.bad_at) >= 50:
        late_at = world.bad_at[49] + BOUNDS.rollback_s
        assert not any(at > late_at for at in world.sent_new)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('rate', 'duration_s'), RATES)
def test_a_good_version_is_complete_by_its_deadline(seed, rate, duration_s):
    world = RolloutWorld(seed=seed, rate=rate, duration_s=duration_s)
    world.start()
    world.run_until_ended(duration_s + 5)
    assert world.record.state == RolloutState.COMPLETE, world.record
    assert world.elapsed_s <= duration_s
    # It could still have turned bad at the last moment.
    sent, bound = world.exposure()
    assert sent <= bound
    world.run(0.1)
    before = len(world.sent_all) - len(world.sent_new)
    world.run(1.0)
    assert len(world.sent_all) - len(world.sent_new) == before


def test_no_request_goes_to_the_old_version_just_before_it_stops():
    # Replicas of the old version stop at `complete` without draining.
    world = RolloutWorld(rate=200.0, duration_s=30.0)
    world.start()
    world.run_until_ended(40)
    assert world.record.state == RolloutState.COMPLETE
    assert world.open_old <= 2


FAULTS = {
    'fails_at_once': {'fails': lambda route, t: 0.4},
    'always_fails': {'fails': lambda route, t: 1.0},
    'fails_later': {'fails': lambda route, t: 0.5 if t > 5 else 0.0},
    'fails_on_one_route': {'fails': lambda route, t: 0.7 if route == 'r1' else 0.0},
    'never_answers': {'slows': lambda route, t: 1000.0},
    'slow_at_once': {'slows': lambda route, t: 4.0},
    'slow_later': {'slows': lambda route, t: 4.0 if t > 5 else 1.0},
    'slow_on_one_route': {'slows': lambda route, t: 4.0 if route == 'r0' else 1.0},
}


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('fault', FAULTS)
def test_a_bad_version_is_rolled_back_within_its_exposure(seed, fault):
    world = RolloutWorld(seed=seed, rate=300.0, duration_s=12.0, **FAULTS[fault])
    world.start()
    world.run_until_ended(13)
    world.run(3.0)
    check_bad(world)


@pytest.mark.parametrize('bad_from_s', [2.0, 6.0, 9.0, 10.5, 11.0, 11.4])
def test_a_version_that_turns_bad_at_any_moment_stays_within_its_exposure(bad_from_s):
    # Late faults may be found only after the rollout is complete, when it can't be
    # rolled back any more; until then the bound holds.
    world = RolloutWorld(
        rate=300.0, fails=lambda route, t: 0.6 if t > bad_from_s else 0.0
    )
    world.start()
    world.run_until_ended(13)
    sent, bound = world.exposure()
    assert sent <= bound


def test_replicas_that_start_late_are_still_judged():
    world = RolloutWorld(new_ready_s=6.0, fails=lambda route, t: 0.5)
    world.start()
    world.run_until_ended(13)
    check_bad(world)


def test_without_replicas_of_the_version_nothing_moves():
    # Regression guard: a version that no replica runs must not be completed, since
    # the old replicas would then be stopped.
    world = RolloutWorld(new_ready_s=1000.0)
    world.start()
    world.run_until_ended(25)
    assert world.record.state == RolloutState.ROLLED_BACK
    assert world.record.reason == 'too_few_answers'
    assert not world.sent_new


def test_a_version_whose_replicas_vanish_in_the_last_step_is_not_completed():
    world = RolloutWorld(rate=200.0, duration_s=30.0)
    world.start()
    while world.record.stage != RolloutStage.FULL:
        world.run(0.1)
    world.new_ready_s = 1000.0
    world.run(0.6)
    assert world.record.state == RolloutState.ACTIVE
    assert world.record.stage == RolloutStage.CANARY


def test_requests_go_to_the_new_version_when_all_old_replicas_are_gone():
    world = RolloutWorld(rate=50.0)
    world.start()
    world.run(2.0)
    world.has_old = False
    before = len(world.sent_new)
    total = len(world.sent_all)
    world.run(1.0)
    assert len(world.sent_new) - before == len(world.sent_all) - total


@pytest.mark.parametrize('lost_at', [1.0, 5.0, 10.0, 11.0])
@pytest.mark.parametrize('is_bad', [False, True])
def test_another_leader_goes_on_from_the_record_and_the_totals(lost_at, is_bad):
    p = 0.5 if is_bad else 0.0
    world = RolloutWorld(rate=300.0, fails=lambda route, t: p if t > 4 else 0.0)
    world.start()
    world.run(lost_at)
    world.is_core_up = False
    world.run(0.6)
    world.new_leader()
    world.is_core_up = True
    world.run_until_ended(14)
    if is_bad:
        check_bad(world)
    else:
        assert world.record.state == RolloutState.COMPLETE
        # The election and the wait for the entries' totals come on top.
        assert world.elapsed_s <= world.duration_s + 3


def test_without_control_nodes_the_new_version_gets_nothing():
    world = RolloutWorld(rate=300.0)
    world.start()
    world.run(5.0)
    world.is_core_up = False
    world.run(BOUNDS.contact_s + 0.5)
    before = len(world.sent_new)
    world.run(3.0)
    assert len(world.sent_new) == before
    world.is_core_up = True
    world.run(2.0)
    assert len(world.sent_new) > before


def test_an_entry_that_is_cut_off_sends_nothing_to_the_new_version():
    world = RolloutWorld(rate=300.0, entries=1)
    world.start()
    world.run(3.0)
    world.entries[0].is_cut = True
    world.run(BOUNDS.contact_s + 0.1)
    before = len(world.sent_new)
    world.run(3.0)
    assert len(world.sent_new) == before
    assert world.version(world.entries[0], 'r0') == OLD


@pytest.mark.parametrize('seed', SEEDS)
def test_entries_that_restart_and_lost_reports_hide_no_exposure(seed):
    world = RolloutWorld(
        seed=seed,
        rate=300.0,
        fails=lambda route, t: 0.5 if t > 8 else 0.0,
        lost_reports=0.3,
    )
    world.start()
    for _ in range(6):
        world.run(1.2)
        for entry in list(world.entries)[:10]:
            world.restart(entry)
    world.run_until_ended(8)
    check_bad(world)
    assert world.record.sent_new >= 0.7 * len(world.sent_new)


def test_a_small_share_is_kept_over_many_entries_with_few_requests():
    # Regression guard: with a first error of 0 no entry would reach a whole request.
    world = RolloutWorld(rate=60.0, entries=40, duration_s=60.0)
    world.start()
    world.run(20.0)
    assert len(world.sent_new) >= 20
    assert NEW in {row.version for e in world.entries for row in rows(e)}


def rows(entry):
    body = entry.counts.report({'s'})
    return [row for order in body.orders for row in order.versions] if body else []


@pytest.mark.parametrize('seed', range(24))
def test_uneven_engines_do_not_make_a_good_version_bad(seed):
    # A canary runs on one or two engines, which may be the slowest ones.
    world = RolloutWorld(seed=seed, rate=400.0, duration_s=15.0, is_uneven=True)
    world.start()
    world.run_until_ended(20)
    assert world.record.state == RolloutState.COMPLETE, world.record.reason


@pytest.mark.parametrize('seed', range(6))
def test_a_version_that_is_several_times_slower_is_found_on_uneven_engines(seed):
    world = RolloutWorld(
        seed=seed,
        rate=400.0,
        duration_s=15.0,
        is_uneven=True,
        slows=lambda route, t: 4.0,
    )
    world.start()
    world.run_until_ended(16)
    check_bad(world)
