"""Control nodes whose disks are full in turn, in virtual time."""

from __future__ import annotations

import os

from pistachiopath.control.replica_loop import REOPEN_INTERVAL_S
from pistachiopath.document.timing import DOCUMENT_TIMING
from pistachiopath.errors.storage import StorageFailed
from pistachiopath.messages.document import ReadDocument

from .document_world import DocumentNode, DocumentWorld
from .stored_disk import Killed, StoredDisk, stored_disks

ROUNDS = 10
CALM_S = 5.0
ACK_S = 4.0
MAX_ROOM_BYTES = 600
MAX_OPERATIONS = 12
BURST_SHARE = 0.2
MAX_BURST = 12


class StoredNode(DocumentNode):
    """A node that opens its folder again after a failure, as `ReplicaLoop` does."""

    def lose_disk(self):
        self._disks += 1
        path = self.world.folder / f'{self.name}-{self._disks}'
        path.mkdir()
        self.disk = StoredDisk(path=path)

    def start(self):
        try:
            super().start()
        except StorageFailed:
            self._reopen_later()
        except Killed:
            self.kill()

    def kill(self, *, power=False):
        self.alive = False
        self._generation += 1
        self.disk.close()
        if power:
            self.disk.crash()

    def _handle(self, effects):
        try:
            super()._handle(effects)
        except StorageFailed:
            self._reopen_later()
        except Killed:
            self.kill()

    def receive_reads(self, number):
        """Handle so many reads in one batch, whose records are written at once."""
        if not self.alive:
            return
        effects = []
        for _ in range(number):
            now = self.world.net.now
            effects += self.core.receive('operator', 0, ReadDocument(), now, 0)
        self._handle(effects)

    def _reopen_later(self):
        self.alive = False
        self._generation += 1
        generation = self._generation
        when = self.world.net.now + REOPEN_INTERVAL_S
        self.world.net.at(when, lambda: self._reopen(generation))

    def _reopen(self, generation):
        if generation == self._generation:
            self.start()


class StoredWorld(DocumentWorld):
    """Control nodes whose folders are files."""

    def __init__(self, *, folder, **changes):
        self.folder = folder
        super().__init__(**changes)
        # Reads in a batch share this call, and no version is asked of them.
        self.min_versions[0] = 0

    def add(self, name, *, forms=False, seeds=None, diskless=False):
        node = StoredNode(
            world=self,
            name=name,
            seeds=seeds or self.seeds,
            forms=forms,
            diskless=diskless,
        )
        self.nodes[name] = node
        node.start()
        return node

    def put_for(self, seconds):
        """Put and read somewhere for a while."""
        end = self.net.now + seconds
        while self.net.now < end:
            self.put(self.rng.choice([None, *self.nodes]))
            self.read(self.rng.choice([None, *self.nodes]))
            leader = self.leader()
            if leader is not None and self.rng.random() < BURST_SHARE:
                leader.receive_reads(self.rng.randrange(2, MAX_BURST))
            self.run(self.rng.choice([0.0, 0.003, 0.02, 0.1]))


def run_full_disks(seed, folder, *, timing=DOCUMENT_TIMING, others=()):
    """Fill one disk after the other under changes; then all has to work again."""
    open_files = len(os.listdir('/proc/self/fd'))
    with stored_disks():
        world = StoredWorld(seed=seed, folder=folder, timing=timing, others=others)
        world.run(3.0)
        assert world.leader() is not None
        for _ in range(ROUNDS):
            _disturb_one(world)
        _check_calm(world)
        for node in world.nodes.values():
            node.disk.close()
    assert len(os.listdir('/proc/self/fd')) == open_files, 'a file was left open'


def _disturb_one(world):
    """Fill a disk for a while; it may end its process or lose power meanwhile."""
    rng = world.rng
    leader = world.leader()
    names = tuple(world.nodes)
    node = leader if leader and rng.random() < 0.5 else world.nodes[rng.choice(names)]
    if rng.random() < 0.3:
        node.disk.refuses_sync = True
    else:
        node.disk.fill(rng.randrange(MAX_ROOM_BYTES))
    if rng.random() < 0.3:
        node.disk.operations_left = rng.randrange(MAX_OPERATIONS)
    world.put_for(rng.uniform(0.1, 3.0))
    if rng.random() < 0.2:
        node.kill(power=rng.random() < 0.5)
    node.disk.free()
    node.disk.operations_left = None
    if not node.alive and rng.random() < 0.5:
        node.start()
    world.put_for(rng.choice([0.0, 0.05, 1.0]))
    if rng.random() < 0.2:
        _lose_power(world)


def _lose_power(world):
    """Let all lose power; one may be back later than the others."""
    late = world.rng.choice([None, *world.nodes])
    for node in world.nodes.values():
        node.kill(power=True)
    for name, node in world.nodes.items():
        if name != late:
            node.start()
    world.put_for(2.0)
    if late is not None:
        world.nodes[late].start()


def _check_calm(world):
    """Check that each change is acknowledged and held by all soon after the last."""
    for node in world.nodes.values():
        if not node.alive:
            node.start()
    world.run(CALM_S)
    assert all(node.alive for node in world.nodes.values())
    for _ in range(3):
        assert world.leader() is not None, 'nobody leads'
        version = world.put()
        world.run(ACK_S)
        assert world.acked == version, 'a change was not acknowledged'
        assert {n.core.version for n in world.nodes.values()} == {version}
        reads = world.reads
        world.read()
        world.run(1.0)
        assert world.reads == reads + 1, 'a read was not answered'
    left = [file for n in world.nodes.values() for file in n.disk.path.glob('*.new')]
    assert not left
