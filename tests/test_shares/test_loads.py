"""What callers get while a service is short of capacity, with and without shares.

`pytest -s` prints the tables.
"""

from __future__ import annotations

import pytest

from tests.harness.shares_world import Outcomes, SharesWorld

SECONDS = 12.0
SEEDS = (1, 2, 3, 4)
BURST_FROM_S = 4.0
# Callers of requests that arrive within this time see the shortage.
SHORT_UNTIL_S = 9.0
BURSTING = 'c0'
LOADS = {
    'one customer sends six times its usual': {
        'load': 0.8,
        'burst_factor': 6.0,
        'burst_customer': BURSTING,
    },
    'a burst of all': {'load': 0.8, 'burst_factor': 3.0},
    'a gate restarts': {'load': 0.8, 'burst_factor': 3.0, 'event': 'restart'},
    'an entry is lost': {'load': 0.8, 'burst_factor': 3.0, 'event': 'lost'},
}


def restart(world):
    world.net.at(5.5, lambda: world.restart_gate('g1:1'))


def lose(world):
    world.net.at(5.5, lambda: world.lose_entry(world.entries[1]))


EVENTS = {'restart': restart, 'lost': lose}


def group(job):
    if not BURST_FROM_S <= job.arrived_at < SHORT_UNTIL_S:
        return None
    return 'bursting customer' if job.customer == BURSTING else 'other customers'


def tier(job):
    if not BURST_FROM_S <= job.arrived_at < SHORT_UNTIL_S:
        return None
    return f'tier {job.kind.tier}'


def play(patch, name, *, has_shares):
    """Return the outcomes of all seeds by customer and by tier, and of all."""
    terms = dict(LOADS[name])
    load, event = terms.pop('load'), terms.pop('event', '')
    sums = {}
    for seed in SEEDS:
        world = SharesWorld(patch, has_shares=has_shares, seed=seed, **terms)
        if event:
            EVENTS[event](world)
        world.play_burst(SECONDS, load)
        for key in (group, tier, lambda job: 'all'):
            for of, outcomes in world.outcomes(key).items():
                sums[of] = sums.get(of, Outcomes()) + outcomes
    print(f'\n{name}, {"with" if has_shares else "without"} shares')
    for of, outcomes in sums.items():
        print(f'{of:18} {outcomes.row()}')
    return sums


@pytest.fixture(scope='module')
def played():
    """Return the outcomes of a load without and with shares; each is played once."""
    known = {}

    def of(name):
        if name not in known:
            with pytest.MonkeyPatch.context() as patch:
                known[name] = [play(patch, name, has_shares=h) for h in (False, True)]
        return known[name]

    return of


@pytest.mark.parametrize('name', LOADS)
def test_callers_are_served_and_not_refused_again_and_again(played, name):
    # Guards against refusing the same callers repeatedly, as gates did that did not
    # tell them from new ones.
    without, with_shares = played(name)
    both = without['all'], with_shares['all']
    assert both[1].served_share >= both[0].served_share
    assert both[1].refusals < both[0].refusals
    assert both[1].refused_repeatedly < 0.8 * both[0].refused_repeatedly
    assert both[1].in_time_share >= both[0].in_time_share - 0.02


@pytest.mark.parametrize('name', LOADS)
def test_no_tier_bears_the_whole_shortage(played, name):
    # Guards against a tier that starves, and one that is served before its turn.
    _, with_shares = played(name)
    tiers = [with_shares[f'tier {n}'] for n in range(3)]
    assert all(t.served_share >= with_shares['all'].served_share / 4 for t in tiers)
    assert tiers[0].in_time_share >= tiers[1].in_time_share >= tiers[2].in_time_share
    assert tiers[0].in_time_share > 0.95


def test_a_burst_of_one_customer_is_refused_rather_than_others(played):
    # Guards against a customer that pushes others out by sending more.
    _, with_shares = played('one customer sends six times its usual')
    bursting = with_shares['bursting customer']
    others = with_shares['other customers']
    assert others.refusals / others.requests < bursting.refusals / bursting.requests / 2
    assert others.refused_repeatedly < 0.01 * others.requests
    assert others.in_time_share > bursting.in_time_share + 0.05


def test_without_a_burst_nobody_is_refused():
    # Guards against a part that acts where there is no shortage.
    with pytest.MonkeyPatch.context() as patch:
        world = SharesWorld(patch, has_shares=True)
        world.play_burst(SECONDS, 0.6)
    everyone = world.outcomes()['']
    assert everyone.refusals == 0
    assert everyone.in_time_share > 0.99


def test_fewer_are_never_served_at_several_times_the_capacity():
    # Guards against estimates that deny what could have been served.
    found = []
    for has_shares in (False, True):
        with pytest.MonkeyPatch.context() as patch:
            world = SharesWorld(
                patch, has_shares=has_shares, burst_factor=4.0, burst_to=8.0
            )
            world.play_burst(9.0, 1.0)
        found.append(world.outcomes()[''])
        print(f'\nfour times the load, {has_shares=}: {found[-1].row()}')
    without, with_shares = found
    assert with_shares.never < without.never
    assert with_shares.refusals < without.refusals
    assert with_shares.in_time_share >= without.in_time_share - 0.02
