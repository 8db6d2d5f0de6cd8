from __future__ import annotations

from pistachiopath.control.replicated_state import (
    RETIRED_RETENTION_MS,
    ReplicatedState,
)
from pistachiopath.messages.membership import Register, Retire
from tests.harness.world import World


def suspects_after_silence(names):
    """Freeze agents of busy targets for 15 s and return the number of suspects."""
    world = World(seed=3, targets=3)
    world.net.run_until(3.0)
    for number in range(12):
        world.submit(f'r{number}', 'e0')
    world.net.run_until(3.05)
    for name in names:
        world.agents[name].freeze()
    world.net.run_until(18.0)
    states = [c.core.state for c in world.controls.values()]
    return max(len(list(state.suspects)) for state in states)


def test_single_silent_target_creates_suspects():
    assert suspects_after_silence(['t0']) > 0


def test_several_silent_targets_at_once_create_no_suspects():
    assert suspects_after_silence(['t0', 't1', 't2']) == 0


def test_targets_retired_long_ago_are_removed():
    state = ReplicatedState()
    state.apply(1, 1000, Register(target='old', nonce=b'1'))
    state.apply(2, 1000, Retire(target='old', incarnation=1, crashed=False))
    state.apply(3, 2000, Register(target='new', nonce=b'2'))
    assert set(state.targets) == {'old', 'new'}
    later_ms = 2000 + RETIRED_RETENTION_MS + 1
    state.apply(4, later_ms, Register(target='newer', nonce=b'3'))
    assert set(state.targets) == {'new', 'newer'}
