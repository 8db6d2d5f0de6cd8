from __future__ import annotations

import pytest

from tests.harness.script import settle
from tests.harness.world import World

CHANGES = 500
DOWN_AT_S = 3.0
POLL_INTERVAL_S = 0.02
IN_FORCE_S = 4.0


def miss_changes(seed, names):
    """Accept many changes while some processes are down, then restart them."""
    world = World(seed=seed)
    world.net.run_until(DOWN_AT_S)
    for name in names:
        world.nodes[name].kill()
    for revision in range(CHANGES):
        content = f'content {revision}'
        world.accept('o0', revision, content)
        while content not in world.operator('o0').answers:
            world.net.run_until(world.net.now + POLL_INTERVAL_S)
    newest = max(control.core.state.revision for control in world.controls.values())
    assert newest == CHANGES
    for name in names:
        world.nodes[name].start()
    return world


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_processes_that_missed_hundreds_of_changes_have_the_newest(seed):
    world = miss_changes(seed, ('c2', 'e1', 't1'))
    control, entry = world.controls['c2'], world.entries['e1']
    world.net.run_until(world.net.now + IN_FORCE_S)
    assert control.core.is_serving
    assert control.core.state.revision == CHANGES
    assert entry.core.revision == CHANGES
    settle(world)


@pytest.mark.parametrize('seed', [1, 2])
def test_a_replica_with_a_new_folder_catches_up(seed):
    world = miss_changes(seed, ('e1',))
    world.replace(world.controls['c1'])
    world.controls['c1'].start()
    world.net.run_until(world.net.now + IN_FORCE_S)
    assert world.controls['c1'].core.state.revision == CHANGES
    assert world.entries['e1'].core.revision == CHANGES
    settle(world)
