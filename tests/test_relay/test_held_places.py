from __future__ import annotations

from pistachiopath.relay.held_places import NAME_INTERVAL_S, HeldPlaces


def named(held, now):
    return {effect.to: effect.body.held for effect in held.tick(now)}


def test_places_are_named_from_the_loss_of_a_link_until_they_are_released():
    held = HeldPlaces()
    for request in ('a', 'b'):
        held.add('gate', request)
    held.add('other', 'c')
    assert named(held, 0.0) == {}
    held.handle_lost('gate')
    assert named(held, 0.1) == {'gate': ('a', 'b')}
    assert named(held, 0.2) == {}
    held.remove('gate', 'a')
    held.add('gate', 'later')
    assert named(held, 0.1 + NAME_INTERVAL_S) == {'gate': ('b',)}
    held.remove('gate', 'b')
    assert named(held, 9.0) == {}


def test_places_granted_since_a_loss_are_named_after_the_next_one():
    held = HeldPlaces()
    held.add('gate', 'a')
    held.handle_lost('gate')
    held.add('gate', 'later')
    held.handle_lost('gate')
    assert named(held, 0.0) == {'gate': ('a', 'later')}


def test_a_lost_gate_without_places_is_not_told_anything():
    held = HeldPlaces()
    held.add('gate', 'a')
    held.remove('gate', 'a')
    held.remove('gate', 'a')
    held.handle_lost('gate')
    assert named(held, 0.0) == {}
