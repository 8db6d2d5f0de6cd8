from __future__ import annotations

import gevent

from pistachiopath.control import replica_loop
from pistachiopath.control.replica_loop import ReplicaLoop
from pistachiopath.errors.storage import StorageFailed
from pistachiopath.replication.effects import SaveVote
from pistachiopath.replication.role import Role


class FakeFolder:
    """Data folder that raises `StorageFailed` while its disk is full."""

    def __init__(self, disk):
        self._disk = disk
        self.closed = False

    def write(self, effect):
        if self._disk['full']:
            raise StorageFailed(operation='SaveVote', reason='28')
        self._disk['written'] += 1

    def sync(self):
        return True

    def close(self):
        self.closed = True


class FakeCore:
    """Core that saves a vote in each tick."""

    class group:  # noqa: N801
        class replica:  # noqa: N801
            role = Role.FOLLOWER
            term = 1
            commit = 0
            members = ()

    def tick(self, now, time_ms):
        return [SaveVote(term=1, voted_for='a')]

    def receive(self, sender, call, body, now, time_ms):
        return []

    def flush(self, now):
        return []

    def synced(self, now):
        return []


def test_loop_reopens_the_folder_until_a_full_disk_is_freed(monkeypatch):
    # Regression: the process exited when its disk was full, four times in one
    # day of a benchmark.
    monkeypatch.setattr(replica_loop, 'REOPEN_INTERVAL_S', 0.01)
    disk = {'full': True, 'written': 0}
    opened = []

    def reopen():
        opened.append(FakeFolder(disk))
        return FakeCore(), opened[-1]

    first = FakeFolder(disk)
    loop = ReplicaLoop(core=FakeCore(), folder=first, network=None, reopen=reopen)
    loop.start()
    while len(opened) < 3:
        gevent.sleep(0.01)
    assert first.closed
    assert disk['written'] == 0
    disk['full'] = False
    while not disk['written']:
        gevent.sleep(0.01)
    loop.stop()
