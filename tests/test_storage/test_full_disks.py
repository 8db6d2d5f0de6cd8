"""Groups of control nodes whose disks fill up at any byte of any write."""

from __future__ import annotations

import pytest

from pistachiopath.document import core
from tests.harness.document_faults import MANY_PARTS
from tests.harness.full_disks import StoredWorld, run_full_disks
from tests.harness.stored_disk import stored_disks


@pytest.mark.parametrize('seed', range(20))
def test_changes_are_acknowledged_after_each_disk_was_full(seed, tmp_path, monkeypatch):
    monkeypatch.setattr(core, 'COMPACT_ENTRIES', 4)
    run_full_disks(seed, tmp_path)


@pytest.mark.parametrize('seed', range(10))
def test_full_disks_of_replaced_voters_stop_nothing(seed, tmp_path, monkeypatch):
    monkeypatch.setattr(core, 'COMPACT_ENTRIES', 4)
    run_full_disks(seed, tmp_path, others=('c3',), timing=MANY_PARTS)


@pytest.mark.parametrize('trouble', ['killed', 'full'])
def test_a_change_that_a_restarted_node_confirmed_survives_a_loss_of_power(
    trouble, tmp_path
):
    # The node was killed before it had synced the record, or the sync was refused,
    # and confirmed it as it was back: with the power it lost an acknowledged change.
    with stored_disks():
        world = StoredWorld(seed=3, folder=tmp_path)
        world.run(3.0)
        world.put()
        world.run(0.5)
        leader = world.leader()
        troubled, down = [n for n in world.nodes.values() if n is not leader]
        down.kill()
        if trouble == 'killed':
            troubled.disk.operations_left = 1
        else:
            troubled.disk.refuses_sync = True
        version = world.put()
        world.run(0.05)
        assert not troubled.alive
        troubled.disk.free()
        troubled.start()
        world.run(0.2)
        assert world.acked == version
        for node in world.nodes.values():
            node.kill(power=True)
        troubled.start()
        down.start()
        world.run(3.0)
        assert world.leader().core.version == version
        for node in world.nodes.values():
            node.disk.close()
