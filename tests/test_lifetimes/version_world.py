"""Control nodes, entries and replicas in virtual time, whose streams are taken up.

The parts that decide which version began a stream are the product's.  Links, processes
and callers are simple stand-ins: a message takes one step, or is lost in a cut.
"""

from __future__ import annotations

import itertools
from types import SimpleNamespace
from unittest import mock

import attrs

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.document.noted_streams import NotedStreams
from pistachiopath.document.peers import ControlPeers
from pistachiopath.lifetimes import version_deduction
from pistachiopath.lifetimes.known_lifetimes import KnownLifetimes
from pistachiopath.lifetimes.lifetime_doubts import LifetimeDoubts
from pistachiopath.lifetimes.open_streams import OpenStreams
from pistachiopath.lifetimes.process_spans import ProcessSpans
from pistachiopath.lifetimes.restart_watch import RestartWatch
from pistachiopath.lifetimes.stream_finder import _decoded
from pistachiopath.lifetimes.stream_start import StreamStart
from pistachiopath.lifetimes.version_deduction import VersionDeduction
from pistachiopath.messages.directory import Announcements, Follow, News, ReplicaRecord
from pistachiopath.messages.grants import WatchLoad
from pistachiopath.messages.streams import StreamOrigins
from pistachiopath.streams.service_version import version_of
from pistachiopath.telemetry.metrics import Metrics

try:
    from pistachiopath.directory.version_spread import VersionSpread
    from pistachiopath.document.process_witnesses import ALIVE_LAG_S
    from pistachiopath.lifetimes.open_processes import OpenProcesses
    from pistachiopath.lifetimes.process_spans import ProcessSpan
    from pistachiopath.messages.streams import WitnessedProcess
except ImportError:  # Builds before these parts, on which the world is played too.
    VersionSpread = OpenProcesses = None

STEP_S = 0.1
NOTE_EVERY_S = 0.4
REPORT_EVERY_S = 1.2
TIMEOUT_S = 5.0
SEARCH_S = 1.5
PROOF_S = 1.4
QUIET_S = 3.6
SERVICE = 'model'
ROUTE = SimpleNamespace(timeout_s=TIMEOUT_S)


@attrs.define(eq=False)
class Process:
    """One lifetime of a replica; reports are `delay_s` on their way."""

    replica: str
    address: str
    version: str
    born_ms: int
    reports_to: tuple[str, ...]
    first_report_at: float
    delay_s: float = 0.0
    sequence: int = 0
    next_report_at: float = 0.0
    ended_at: float | None = None

    @property
    def is_alive(self):
        return self.ended_at is None

    def record(self):
        self.sequence += 1
        return ReplicaRecord(
            replica=self.replica,
            born_ms=self.born_ms,
            sequence=self.sequence,
            service=SERVICE,
            address=self.address,
            zone='z',
            slots=8,
            state='ready',
            software_version=self.version,
        )


@attrs.define(eq=False)
class Stream:
    """A stream, and what truly began it."""

    name: str
    entry: str
    process: Process
    opened_at: float
    is_open: bool = True


class Control:
    """A control node."""

    def __init__(self, world, address, *, is_first, records=()):
        self.world = world
        self.address = address
        others = tuple(a for a in world.control_names if a != address)
        self.announcer = Announcer(
            address=address,
            feed=next(world.numbers),
            silent_after_s=QUIET_S,
            now=world.now,
            is_first_start=is_first,
        )
        self.announcer.load(tuple(records), world.now)
        self.announcer.set_members(others)
        self.peers = ControlPeers(
            address=address, announcer=self.announcer, seeds=others, now=world.now
        )
        self.witnesses = {}
        self.notes = NotedStreams(**({'span': self.span} if OpenProcesses else {}))

    def step(self, now):
        self.announcer.prune(now)
        self.world.send_all(self.address, self.peers.tick(now))

    def receive(self, sender, call, body, now):
        match body:
            case Follow():
                effects = self.peers.on_follow(sender, body, now, call=call)
                self.world.send_all(self.address, effects)
            case News():
                effects = self.peers.on_news(sender, body, now)
                self.world.send_all(self.address, effects)
            case Announcements():
                effects = self.announcer.merge_announcements(body, now)
                self.world.send_all(self.address, effects)
            case WatchLoad():
                self.notes.note(body.notes, now)
                self._handle_processes(sender, call, body, now)

    def _handle_processes(self, sender, call, body, now):
        processes = getattr(body, 'processes', ())
        if processes:
            self.notes.note_processes([n for n in processes if n.witness], now)
        for note in processes:
            found = self.world.process_at(note.address)
            if note.witness or found is None:
                continue
            number = next(self.world.numbers)
            self.witnesses[number] = (found, now)
            witnessed = WitnessedProcess(
                address=note.address, witness=number, opened_ms=0
            )
            reply = StreamOrigins(origins=(), witnessed=(witnessed,))
            self.world.send(self.address, sender, call, reply)

    def span(self, witness, now):
        if witness not in self.witnesses:
            return None
        found, opened_at = self.witnesses[witness]
        seen_until = now if found.is_alive else found.ended_at
        return opened_at, max(opened_at, seen_until - ALIVE_LAG_S)

    def report(self, record, now):
        effects = self.announcer.announce(record, now, sent_after=now)
        self.world.send_all(self.address, effects)


class Entry:
    """An entry; `connections` holds its open ones by address."""

    def __init__(self, world, address):
        now = world.now
        self.world = world
        self.address = address
        self.subscriber = Subscriber(is_entry=True, own_address=address)
        self.subscriber.set_seeds(world.control_names, now)
        self.spans, self.doubts = ProcessSpans(), LifetimeDoubts()
        self.restarts = RestartWatch(started_at=now)
        self.lifetimes = KnownLifetimes(
            subscriber=self.subscriber, spans=self.spans, doubts=self.doubts
        )
        self.deduction = VersionDeduction(
            subscriber=self.subscriber,
            lifetimes=self.lifetimes,
            accepts=lambda a: world.process_at(a) is not None,
            quiet_s=QUIET_S,
        )
        extra = {'processes': OpenProcesses(spans=self.spans)} if OpenProcesses else {}
        self.open = OpenStreams(
            own_address=address,
            subscriber=self.subscriber,
            restarts=self.restarts,
            send=lambda to, call, body: world.send(address, to, call, body),
            metrics=Metrics(),
            **extra,
        )
        self.spread = VersionSpread and VersionSpread(subscriber=self.subscriber)
        self.connections = {}
        self.starts = {}
        self.note_at = now

    def step(self, now):
        self.world.send_all(self.address, self.subscriber.tick(now))
        if self.spread:
            self.world.send_all(self.address, self.spread.tick(now))
        for address, (process, opened_at, closes_at) in list(self.connections.items()):
            if not process.is_alive:
                del self.connections[address]
                self.broke(address, now)
            elif now >= closes_at:
                del self.connections[address]
            else:
                self.spans.heard(address, opened_at, now)
        if now >= self.note_at:
            self.note_at = now + NOTE_EVERY_S
            self.open.tick(now)

    def broke(self, address, now):
        for record in list(self.subscriber.directory.records()):
            if record.address == address and record.state == 'ready':
                self.doubts.note(record, now)
                self.restarts.note(SERVICE, now)

    def receive(self, sender, call, body, now):
        if isinstance(body, News):
            self.lifetimes.heard(body.records, now)
            if body.records:
                self.restarts.note(SERVICE, now)
            asked_at = self.subscriber.asked_at(sender, call)
            self.lifetimes.answered(body.heard, asked_at, now)
            effects = self.subscriber.on_news(sender, body, now, call=call)
            self.world.send_all(self.address, effects)
        elif getattr(body, 'witnessed', ()):
            self.open.witnessed(sender, call, body.witnessed, now)

    def ask(self, replicas, now):
        self.world.send_all(self.address, self.subscriber.ask(replicas, now))

    def connect(self, record, length_s):
        """Return the process at a replica's address and since when; None if none."""
        now, process = self.world.now, self.world.process_at(record.address)
        if process is None:
            self.broke(record.address, now)
            return None
        known = self.connections.get(record.address)
        opened_at = known[1] if known and known[0] is process else now
        closes_at = max(now + length_s, known[2] if known else 0.0)
        self.connections[record.address] = (process, opened_at, closes_at)
        return process, opened_at

    def ready(self):
        records = self.subscriber.directory.records()
        return [r for r in records if r.state == 'ready']

    def usable(self):
        """Return the replicas at which a stream may begin."""
        found, now = self.ready(), self.world.now
        if not VersionSpread:
            return found
        usable = [
            r for r in found if self.subscriber.is_established(version_of(r), now)
        ]
        return usable or found

    def proven(self, start):
        version = self.lifetimes.version_at(start.record, start.opened_at)
        if version is None:
            self.ask([start.record.replica], self.world.now)
        return version


class World:
    """All of them; `close` has to be called."""

    def __init__(self):
        self.now = 1000.0
        self.numbers = itertools.count(1)
        self.control_names = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')
        self.entry_names = ('10.0.1.1:1', '10.0.1.2:1')
        self.inside = frozenset()
        self.messages, self.later, self.streams = [], [], []
        self.processes = {}
        self.trace = []
        clock = SimpleNamespace(monotonic=lambda: self.now)
        self._patch = mock.patch.object(version_deduction, 'time', clock)
        self._patch.start()
        self.nodes = {
            a: Control(self, a, is_first=True) for a in self.control_names
        } | {a: Entry(self, a) for a in self.entry_names}
        self.run(1.0)
        for number in range(3):
            self.start(number, 'v1')
        # What is deduced goes back for twice the route's timeout.
        self.run(2 * TIMEOUT_S + 4.0)

    def close(self):
        self._patch.stop()

    # Links

    def is_cut(self, one, other):
        return (one in self.inside) != (other in self.inside)

    def send(self, sender, to, call, body):
        self.messages.append((sender, to, call, body))

    def send_all(self, sender, effects):
        for effect in effects:
            self.send(sender, effect.to, effect.call, effect.body)

    def cut(self, inside):
        for one, other in itertools.permutations(self.nodes, 2):
            if (one in inside) != (other in inside):
                self.lose_link(one, other)
        self.inside = frozenset(inside)

    def lose_link(self, one, other):
        node = self.nodes.get(one)
        if isinstance(node, Control):
            node.announcer.link_lost(other)
        elif node is not None:
            node.subscriber.link_lost(other)
            node.open.handle_lost(other)

    # Time

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.now += STEP_S
        due = [e for e in self.later if e[0] <= self.now]
        self.later = [e for e in self.later if e[0] > self.now]
        for _, action in due:
            action()
        for process in self.processes.values():
            if process.is_alive:
                self._report(process)
        # Replies and what they lead to take no time beside a step.
        for _ in range(4):
            messages, self.messages = self.messages, []
            for sender, to, call, body in messages:
                if to in self.nodes and not self.is_cut(sender, to):
                    self.nodes[to].receive(sender, call, body, self.now)
        for node in list(self.nodes.values()):
            node.step(self.now)

    def _report(self, process):
        if self.now < max(process.first_report_at, process.next_report_at):
            return
        process.next_report_at = self.now + REPORT_EVERY_S
        record = process.record()
        self.later.append(
            (self.now + process.delay_s, lambda: self._arrive(process, record))
        )

    def _arrive(self, process, record):
        for control in process.reports_to:
            if control in self.nodes:
                self.nodes[control].report(record, self.now)
                return

    # Events

    def process_at(self, address):
        process = self.processes.get(address)
        return process if process and process.is_alive else None

    def start(self, number, version, *, first_s=0.0, delay_s=0.0, reports_to=()):
        address = f'10.0.2.{number}:80'
        process = Process(
            replica=f'r{number}',
            address=address,
            version=version,
            born_ms=int(self.now * 1000),
            reports_to=tuple(reports_to or self.control_names),
            first_report_at=self.now + first_s,
            delay_s=delay_s,
        )
        self.processes[address] = process

    def restart(self, number, version, *, down_s=0.6, **how):
        process = self.processes.get(f'10.0.2.{number}:80')
        if process is not None:
            process.ended_at = self.now
        for stream in self.streams:
            stream.is_open &= stream.process is not process
        self.run(down_s)
        self.start(number, version, **how)

    def kill(self, name):
        """Kill a node; it starts again after a second."""
        node = self.nodes.pop(name, None)
        if node is None:
            return
        for stream in self.streams:
            stream.is_open &= stream.entry != name
        for other in self.nodes:
            self.lose_link(other, name)
        saved = ()
        if isinstance(node, Control):
            saved = tuple(node.announcer.directory.records())
        self.later.append((self.now + 1.0, lambda: self._start_node(name, saved)))

    def _start_node(self, name, saved):
        if name in self.control_names:
            self.nodes[name] = Control(self, name, is_first=False, records=saved)
        else:
            self.nodes[name] = Entry(self, name)

    def begin(self, name, choice):
        """Begin a stream at one of the replicas that the entry may choose."""
        entry = self.nodes.get(name)
        usable = entry.usable() if entry else []
        if not usable:
            return
        record = usable[choice % len(usable)]
        found = entry.connect(record, length_s=15.0)
        if found is None:
            return
        process, opened_at = found
        stream = Stream(f'c/{len(self.streams)}', name, process, opened_at)
        self.streams.append(stream)
        start = StreamStart(record=record, opened_at=opened_at, begun_at=self.now)
        entry.starts[stream.name] = start
        extra = {'start': start} if OpenProcesses else {}
        entry.open.begun(
            stream.name, version_of(record), lambda: entry.proven(start), **extra
        )

    def come_back(self, stream, name):
        """Take a stream up at an entry; return the process at which it goes on."""
        if stream.is_open and stream.entry in self.nodes:
            self.nodes[stream.entry].open.ended(
                stream.name, is_complete=False, now=self.now
            )
        stream.is_open = False
        entry = self.nodes.get(name)
        version = self._search(entry, stream) if entry else None
        if version is None or self.nodes.get(name) is not entry:
            return None
        return self._go_on(entry, version)

    def _search(self, entry, stream):
        returned_at, until = self.now, self.now + SEARCH_S
        if stream.name in entry.starts:
            for _ in range(3):
                version = entry.proven(entry.starts[stream.name])
                if version is not None:
                    return version
                self.step()
            return None
        found = None
        while self.now < until:
            version = self._noted(entry, stream, self.now)
            if version is not None:
                return version
            found = entry.deduction.look(ROUTE, SERVICE, returned_at)
            if found.certainty == 'certain':
                return found.version
            replicas = entry.deduction.to_ask_for(SERVICE, returned_at)
            entry.ask(replicas, self.now)
            self.step()
        return found.version if found is not None and found.is_of_most else None

    def _noted(self, entry, stream, now):
        for control in entry.subscriber.heard(now):
            if control not in self.nodes or self.is_cut(control, entry.address):
                continue
            for told in self.nodes[control].notes.find((stream.name,), now).origins:
                origin = _decoded(told, control, now, asked_at=now)
                if origin.is_confirmed:
                    return origin.version
                span = ProcessSpan(since=origin.opened_at, until=origin.alive_until)
                version = entry.lifetimes.version_of_process(
                    origin.replica, origin.address, span
                )
                if version is not None:
                    return version
                entry.ask([origin.replica], now)
        return None

    def _go_on(self, entry, version):
        for record in entry.ready():
            versions = entry.subscriber.directory.versions(SERVICE)
            is_doubted = len(versions) > 1 and entry.doubts.holds(record, self.now)
            if version_of(record) != version or is_doubted:
                continue
            found = entry.connect(record, length_s=PROOF_S + 1.0)
            if found is None:
                continue
            process, opened_at = found
            until = self.now + PROOF_S
            while self.now < until and process.is_alive:
                if entry.lifetimes.is_proven(record, opened_at):
                    return process
                entry.ask([record.replica], self.now)
                self.step()
        return None
