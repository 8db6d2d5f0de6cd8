from __future__ import annotations

import attrs
import pytest

from tests.harness.crash_world import ALLOWED_SENDS, CrashWorld, Traffic

RATE_PER_REPLICA = 4.0
SHAPES = {
    'three_sites': {'entries': 7, 'replicas': 9, 'slots': 5},
    'wide_slots': {'entries': 8, 'replicas': 9, 'slots': 10},
    'grown': {'entries': 26, 'replicas': 22, 'slots': 5},
    'large': {'entries': 70, 'replicas': 59, 'slots': 5},
}
TRAFFICS = {
    'after_the_first_part': Traffic(),
    'as_the_first_part': Traffic(position=0),
    'from_the_first_moment_on': Traffic(guilty_from=0.0),
    'in_each_fifth_request': Traffic(guilty={'bad': 0.2}),
    'rare': Traffic(guilty={'bad': 0.006}, until=60.0),
    'two_of_them': Traffic(guilty={'bad': 0.03, 'worse': 0.03}),
    'one_first_part_only': Traffic(first_parts=1),
    'first_and_never_seen_to_run_well': Traffic(
        first_parts=1, guilty={'bad': 0.2}, position=0, guilty_from=0.0
    ),
}


def check_rules(world):
    """Check how many requests were sent too late, and that no sound one paid."""
    for part in world.crashes:
        assert len(world.late_sends(part)) <= ALLOWED_SENDS, part
    sound_since = world.traffic.guilty_from + 6.0
    for number in range(world.traffic.first_parts):
        assert world.admitted_share(f'first{number}', sound_since) >= 0.95


def make_world(seed, traffic, *, replicas, **shape):
    traffic = attrs.evolve(traffic, rate=RATE_PER_REPLICA * replicas)
    return CrashWorld(seed, traffic, replicas=replicas, **shape)


@pytest.mark.parametrize('traffic', TRAFFICS)
@pytest.mark.parametrize('shape', SHAPES)
def test_requests_that_share_a_crashing_part_stop_crashing_replicas(shape, traffic):
    for seed in range(1 if shape == 'large' else 5):
        check_rules(make_world(seed, TRAFFICS[traffic], **SHAPES[shape]).play())


@pytest.mark.parametrize('seed', range(5))
def test_crashes_of_other_causes_blame_nobody(seed):
    world = make_world(seed, Traffic(guilty={}), **SHAPES['three_sites'])
    for at, count in (
        (2, 1),
        (3, 3),
        (6, 1),
        (7, 1),
        (8, 1),
        (12, 5),
        (13, 4),
        (20, 2),
    ):
        world.at(float(at), world.kill, count)
    world.play()
    for number in range(world.traffic.first_parts):
        assert world.admitted_share(f'first{number}', 0.0) == 1.0


@pytest.mark.parametrize('seed', range(5))
def test_a_crashing_part_is_found_among_crashes_of_other_causes(seed):
    world = make_world(seed, Traffic(), **SHAPES['three_sites'])
    for at in (2, 3, 4, 5, 6, 7, 12):
        world.at(at + 0.3, world.kill, 1)
    check_rules(world.play())


@pytest.mark.parametrize('seed', range(5))
def test_a_crashing_part_is_found_although_messages_to_control_nodes_are_lost(seed):
    world = make_world(seed, Traffic(), loss=0.3, **SHAPES['three_sites'])
    check_rules(world.play())
