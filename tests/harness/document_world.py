"""Control nodes that replicate the document over the virtual network."""

from __future__ import annotations

import random

from pistachiopath.document.core import DocumentCore
from pistachiopath.document.timing import DOCUMENT_TIMING
from pistachiopath.effects import Send
from pistachiopath.messages.document import (
    DocumentReply,
    PutDocument,
    PutReply,
    ReadDocument,
)
from pistachiopath.replication.effects import STORAGE_EFFECTS
from pistachiopath.replication.group import Group

from .disk import Disk
from .network import VirtualNetwork

TICK_S = 0.02


class DocumentNode:
    """A control node that can be killed, lose its disk and be restarted."""

    def __init__(self, *, world, name, seeds, forms, diskless=False):
        self.world = world
        self.name = name
        self.seeds = seeds
        self.forms = forms
        self.diskless = diskless
        self.alive = False
        self._generation = 0
        self._disks = 0
        self.lose_disk()

    def lose_disk(self):
        self._disks += 1
        self.disk = Disk(member=f'{self.name}-disk{self._disks}')

    def start(self):
        if self.diskless:
            self.lose_disk()
        self.alive = True
        self._generation += 1
        self.core = DocumentCore(
            group=Group(
                address=self.name,
                addresses=self.seeds,
                persisted=self.disk.load(),
                rng=random.Random(self.world.rng.getrandbits(64)),
                now=self.world.net.now,
                timing=self.world.timing,
                forms=self.forms,
                voters=2 * self.world.tolerated + 1,
                diskless=self.diskless,
            )
        )
        self.forms = False
        self._tick(self._generation)

    def kill(self, *, power=False):
        self.alive = False
        if power:
            self.disk.crash()

    @property
    def replica(self):
        return self.core.group.replica

    def receive(self, sender, call, body):
        if self.alive:
            now = self.world.net.now
            self._handle(self.core.receive(sender, call, body, now, 0))

    def _tick(self, generation):
        if generation != self._generation or not self.alive:
            return
        self._handle(self.core.tick(self.world.net.now, 0))
        self.world.net.at(self.world.net.now + TICK_S, lambda: self._tick(generation))

    def _handle(self, effects):
        now = self.world.net.now
        effects = effects + self.core.flush(now)
        sends = self._store(effects)
        self.disk.sync()
        sends += self._store(self.core.synced(now))
        self.disk.sync()
        self.disk.check_holds(self.replica.log)
        for send in sends:
            self.world.send(self.name, send)

    def _store(self, effects):
        for effect in effects:
            if isinstance(effect, STORAGE_EFFECTS):
                self.disk.write(effect)
        return [e for e in effects if isinstance(e, Send)]


class DocumentWorld:
    """Control nodes, and an operator that checks their replies."""

    node_class = DocumentNode

    def __init__(
        self,
        *,
        seed,
        seeds=('c0', 'c1', 'c2'),
        others=(),
        tolerated=1,
        timing=DOCUMENT_TIMING,
    ):
        self.rng = random.Random(seed)
        self.net = VirtualNetwork(seed=seed + 1)
        self.tolerated = tolerated
        self.timing = timing
        self.seeds = seeds
        self.nodes = {}
        self.acked = 0
        self.min_versions = {}
        self.reads = 0
        self.replies = []
        self._calls = 0
        self._versions = 0
        for name in (*seeds, *others):
            self.add(name, forms=True)

    def add(self, name, *, forms=False, seeds=None, diskless=False):
        node = self.node_class(
            world=self,
            name=name,
            seeds=seeds or self.seeds,
            forms=forms,
            diskless=diskless,
        )
        self.nodes[name] = node
        node.start()
        return node

    def send(self, sender, send):
        if send.to == 'operator':
            self._handle_reply(send.call, send.body)
            return
        node = self.nodes.get(send.to)
        if node is not None:
            self.net.send(
                sender, send.to, lambda: node.receive(sender, send.call, send.body)
            )

    def leader(self):
        settled = [n for n in self.nodes.values() if n.alive and n.replica.is_settled]
        return max(settled, key=lambda n: n.replica.term, default=None)

    def put(self, name=None):
        """Put the next version at a node (default: the leader); return its number."""
        self._versions += 1
        body = PutDocument(version=self._versions, content=b'%d' % self._versions)
        self._ask(name, body, None)
        return self._versions

    def read(self, name=None):
        """Read; check that the reply is not older than the last acknowledged put."""
        self._ask(name, None, self.acked)

    def _ask(self, name, put, min_version):
        node = self.nodes[name] if name else self.leader()
        if node is None or not node.alive:
            return
        self._calls += 1
        self.min_versions[self._calls] = min_version
        node.receive('operator', self._calls, put or ReadDocument())

    def _handle_reply(self, call, body):
        self.replies.append(body)
        if isinstance(body, PutReply):
            self.acked = max(self.acked, body.version)
        elif isinstance(body, DocumentReply):
            self.reads += 1
            assert body.version >= self.min_versions[call], 'a read was stale'
            expected = b'%d' % body.version if body.version else b''
            assert body.content == expected, 'the content belongs to another version'

    def run(self, seconds):
        self.net.run_until(self.net.now + seconds)

    def voters(self):
        leader = self.leader()
        return sorted(m.address for m in leader.replica.members if m.voter)
