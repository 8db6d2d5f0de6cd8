"""Control nodes and entries that pass configurations on over slow links."""

from __future__ import annotations

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.document.client import DocumentClient
from pistachiopath.document.packing import pack
from pistachiopath.document.peers import ControlPeers
from pistachiopath.messages.directory import Announcements, Follow, News
from pistachiopath.messages.document import (
    DocumentReply,
    PutDocument,
    PutReply,
)
from pistachiopath.messages.replication import (
    Append,
    AppendPart,
    InstallSnapshot,
    NotLeader,
)

from .document_world import DocumentNode, DocumentWorld
from .fleet_links import FleetNetwork

TIMERS_S = 0.05
# A control node answers an operator in this time, and the operator asks another
# one if it has no acknowledgement by then.
PUT_TIMEOUT_S = 0.85
OPERATOR_RETRY_S = 1.0
# What a message takes on a link besides a configuration.
OTHER_BYTES = 250


def size_of(body):
    """Return about how many bytes a message takes on a link."""
    match body:
        case Append():
            carried = sum(len(e.command) + 50 for e in body.entries)
        case InstallSnapshot() | AppendPart():
            carried = len(body.data)
        case PutDocument() | News() | DocumentReply():
            carried = len(body.content)
        case _:
            carried = 0
    return OTHER_BYTES + carried


class FleetControl(DocumentNode):
    """A control node with its followers and the puts that it passes on."""

    def __init__(self, *, world, name, **options):
        super().__init__(world=world, name=name, **options)
        now = world.net.now
        self.announcer = Announcer(
            address=name, feed=len(world.nodes) + 1, silent_after_s=3.6, now=now
        )
        self.peers = ControlPeers(
            address=name, announcer=self.announcer, seeds=world.control_names, now=now
        )
        self.client = DocumentClient(leader=lambda: self.core.leader)
        self.replies = {}
        self.peak_bytes = 0
        self._run_timers()

    def put(self, version, content, on_reply):
        now = self.world.net.now
        call = self.client.ask(PutDocument(version=version, content=content))
        self.replies[call] = on_reply
        self.world.net.at(now + PUT_TIMEOUT_S, lambda: self.client.forget(call))
        self._carry_out(self.client.due(now))

    def receive(self, sender, call, body):
        now = self.world.net.now
        match body:
            case Follow():
                self._carry_out(self.peers.on_follow(sender, body, now))
            case Announcements():
                self._carry_out(self.announcer.merge_announcements(body, now))
            case News():
                self._carry_out(self.peers.on_news(sender, body, now))
            case PutReply() | NotLeader() if call:
                if self.client.complete(call, body, now):
                    self.replies[call]()
            case _:
                super().receive(sender, call, body)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes())

    def held_bytes(self):
        """Return the bytes of configurations that the node holds and has to send."""
        replica = self.replica
        log = replica.log
        last = log.last_index
        stored = sum(
            len(log.get(index).command) for index in range(log.base_index + 1, last + 1)
        )
        return (
            stored
            + len(replica.snapshot)
            + len(self.core.content)
            + self.world.net.queued_bytes(self.name)
        )

    def _run_timers(self):
        now = self.world.net.now
        self.world.net.at(now + TIMERS_S, self._run_timers)
        if not self.alive:
            return
        core = self.core
        self._carry_out(self.peers.tick(now))
        self._carry_out(self.client.due(now))
        if core.version > self.announcer.version:
            self._carry_out(self.announcer.publish(core.version, core.content, now))

    def _carry_out(self, effects):
        for effect in effects:
            self.world.send(self.name, effect)


class FleetEntry:
    """An entry that takes configurations from control nodes."""

    def __init__(self, *, world, name):
        self.world = world
        self.name = name
        self.in_force_at = {}
        self.subscriber = Subscriber(is_entry=True, own_address=name)
        self.subscriber.set_seeds(world.seeds, world.net.now)
        self._run_timers()

    def receive(self, sender, call, body):
        before = self.subscriber.version
        now = self.world.net.now
        self._carry_out(self.subscriber.on_news(sender, body, now))
        for version in range(before + 1, self.subscriber.version + 1):
            self.in_force_at[version] = now

    def _run_timers(self):
        now = self.world.net.now
        self.world.net.at(now + TIMERS_S, self._run_timers)
        self._carry_out(self.subscriber.tick(now))

    def _carry_out(self, effects):
        for effect in effects:
            self.world.send(self.name, effect)


class ConfigurationFleet(DocumentWorld):
    """Control nodes and entries; rates are in bytes a second.

    `controls` and `slow_controls` count control nodes; the slow ones have no
    disk and the rate of an entry.
    """

    def __init__(
        self, *, seed, controls, slow_controls, entries, rate, entry_rate, tolerated
    ):
        self.control_names = tuple(f'c{n}' for n in range(controls + slow_controls))
        self.entries = {}
        self.acked_at = {}
        super().__init__(seed=seed, seeds=(), tolerated=tolerated)
        self.net = FleetNetwork(seed=seed + 1)
        self.net.rates['operator'] = rate
        self.seeds = self.control_names[:3]
        for number, name in enumerate(self.control_names):
            is_slow = number >= controls
            self.net.rates[name] = entry_rate if is_slow else rate
            node = FleetControl(
                world=self,
                name=name,
                seeds=self.seeds,
                forms=number < len(self.seeds),
                diskless=is_slow,
            )
            self.nodes[name] = node
            node.start()
        for number in range(entries):
            name = f'e{number}'
            self.net.rates[name] = entry_rate
            self.entries[name] = FleetEntry(world=self, name=name)

    def send(self, sender, send):
        node = self.nodes.get(send.to) or self.entries.get(send.to)
        if node is None:
            return
        if send.to == sender:
            self.net.at(
                self.net.now, lambda: node.receive(sender, send.call, send.body)
            )
            return
        size = size_of(send.body)
        name = type(send.body).__name__
        self.net.bytes_by_type[name] = self.net.bytes_by_type.get(name, 0) + size
        self.net.transfer(
            sender, send.to, size, lambda: node.receive(sender, send.call, send.body)
        )

    def put_next(self, content, attempts=10):
        """Put the next version as operators do, at one control node after another."""
        self._versions += 1
        self._put_at(self._versions, content, self._versions, attempts)

    def _put_at(self, version, content, position, attempts):
        """Put a version at a control node, and again at the next if it isn't acked."""
        now = self.net.now
        if version in self.acked_at or not attempts:
            return
        node = self.nodes[self.control_names[position % len(self.control_names)]]
        size = size_of(PutDocument(version=version, content=content))

        def on_reply():
            self.acked_at.setdefault(version, self.net.now)

        self.net.transfer(
            'operator',
            node.name,
            size,
            lambda: node.put(version, pack(content), on_reply),
        )
        self.net.at(
            now + OPERATOR_RETRY_S,
            lambda: self._put_at(version, content, position + 1, attempts - 1),
        )

    def delays_s(self):
        """Return the seconds from each acknowledgement to the last entry's force."""
        entries = self.entries.values()
        return {
            version: max(e.in_force_at.get(version, self.net.now) for e in entries) - at
            for version, at in self.acked_at.items()
        }

    def peak_bytes(self):
        """Return the most that any control node held."""
        return max(node.peak_bytes for node in self.nodes.values())
