"""Control nodes of a document that follow each other and whose seeds change."""

from __future__ import annotations

from pistachiopath.directory.announcer import Announcer
from pistachiopath.document.peers import ControlPeers
from pistachiopath.messages.directory import Announcements, Follow, News

from .document_world import DocumentNode, DocumentWorld
from .following_entry import FollowingEntry

TIMERS_S = 0.05
SILENT_AFTER_S = 3.6


class PeeredNode(DocumentNode):
    """A control node with what it knows of the others, which a restart clears."""

    def start(self):
        now = self.world.net.now
        self.announcer = Announcer(
            address=self.name,
            feed=self.world.rng.getrandbits(31) + 1,
            silent_after_s=SILENT_AFTER_S,
            now=now,
        )
        self.peers = ControlPeers(
            address=self.name, announcer=self.announcer, seeds=self.seeds, now=now
        )
        super().start()
        self._run_timers(self._generation)

    def set_seeds(self, seeds):
        self.seeds = seeds
        if self.alive:
            self.core.group.set_addresses(seeds)
            self.peers.set_seeds(seeds, self.world.net.now)

    def receive(self, sender, call, body):
        if not self.alive:
            return
        now = self.world.net.now
        match body:
            case Follow():
                self._send_all(self.peers.on_follow(sender, body, now, call=call))
            case News():
                self._send_all(self.peers.on_news(sender, body, now))
            case Announcements():
                self._send_all(self.announcer.merge_announcements(body, now))
            case _:
                super().receive(sender, call, body)

    def _run_timers(self, generation):
        if generation != self._generation or not self.alive:
            return
        now = self.world.net.now
        self._send_all(self.peers.tick(now))
        self.core.group.set_contacts(self.peers.contacts())
        self.announcer.set_members(self.core.group.others())
        content = self.core.content
        self._send_all(self.announcer.publish(self.core.version, content, now))
        self.announcer.prune(now)
        self.world.net.at(now + TIMERS_S, lambda: self._run_timers(generation))

    def _send_all(self, effects):
        for effect in effects:
            self.world.send(self.name, effect)


class PeeredWorld(DocumentWorld):
    """Control nodes whose operator exchanges the seeds of all settings."""

    node_class = PeeredNode

    def __init__(self, **changes):
        self.entries = {}
        super().__init__(**changes)

    def send(self, sender, send):
        entry = self.entries.get(send.to)
        if entry is None:
            super().send(sender, send)
            return
        self.net.send(
            sender, send.to, lambda: entry.receive(sender, send.call, send.body)
        )

    def exchange_seeds(self, seeds):
        """Give all nodes other seeds, those that are down as well."""
        self.seeds = tuple(seeds)
        for node in self.nodes.values():
            node.set_seeds(self.seeds)

    def restart_blank(self, names, down_s=1.0):
        """Kill nodes together and start them again without their folders."""
        for name in names:
            self.nodes[name].kill(power=True)
            self.nodes[name].lose_disk()
        self.run(down_s)
        for name in names:
            self.nodes[name].start()

    def add_entry(self, name):
        """Start an entry that has the seeds of now in its settings."""
        entry = FollowingEntry(world=self, name=name, seeds=self.seeds)
        self.entries[name] = entry
        return entry

    def remove(self, name):
        """Take a node away for good."""
        self.nodes.pop(name).kill(power=True)

    def in_group(self):
        """Return the addresses of the live nodes that the leader has as members."""
        leader = self.leader()
        if leader is None:
            return []
        members = {m.member for m in leader.replica.members}
        return sorted(
            name
            for name, node in self.nodes.items()
            if node.alive and node.replica.member in members
        )
