"""Entries and replicas in virtual time, with parts of prompts that crash replicas."""

from __future__ import annotations

import heapq
import itertools
import random
from types import SimpleNamespace

import attrs

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.quarantine.content import shared_parts
from pistachiopath.quarantine.crash_watch import CrashWatch
from pistachiopath.relay.crashes import Crashes
from pistachiopath.relay.ended import Delivered, Lost
from tests.test_directory.records import record

CONTACT_WINDOW_S = 3.0
RESTART_S = 3.3
TICK_S = 0.05
# Crashes and requests after which the rules hold, and how many may still come.
COUNTED_CRASHES = 5
ALLOWED_SENDS = 3


@attrs.define(kw_only=True, frozen=True)
class Traffic:
    """What callers send; `guilty` maps a part that crashes replicas to its share.

    Guilty parts come at `position` (0 is the first) from `guilty_from` on.
    """

    rate: float = 35.0
    first_parts: int = 4
    guilty: dict = attrs.field(factory=lambda: {'bad': 0.03})
    position: int = 1
    guilty_from: float = 4.0
    until: float = 30.0
    retries: int = 1


@attrs.define(kw_only=True)
class Replica:
    name: str
    slots: int
    born_ms: int = 1
    up_at: float = 0.0
    runs: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class Run:
    work: SimpleNamespace
    entry: SimpleNamespace
    replica: Replica
    guilty: str
    sends: int


class CrashWorld:
    """Plays traffic and crashes, and counts what the rules look at."""

    def __init__(self, seed, traffic, *, entries=7, replicas=9, slots=5, loss=0.0):
        self.rng = random.Random(seed)
        self.traffic = traffic
        self.loss = loss
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self.control = CrashWatch()
        self.replicas = [Replica(name=f'r{n}', slots=slots) for n in range(replicas)]
        self.entries = [self._entry(f'e{n}') for n in range(entries)]
        self.crashes = {part: [] for part in traffic.guilty}
        self.guilty_sends = {part: [] for part in traffic.guilty}
        self.sound = []
        self.waiting = []

    def _entry(self, name):
        node = SimpleNamespace(name=name, directory=self, is_cut=False)
        node.crashes = Crashes(
            watch=CrashWatch(node=name),
            subscriber=SimpleNamespace(directory=self, is_silent=lambda *_: False),
            broadcast=lambda body: self._broadcast(node, body),
            refuses=lambda address: False,
        )
        return node

    # The directory that entries look replicas up in.
    def get(self, name):
        replica = next(r for r in self.replicas if r.name == name)
        return record(replica=name, born_ms=replica.born_ms)

    def at(self, time, call, *args):
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def play(self):
        for entry in self.entries:
            self.at(self.rng.uniform(0, TICK_S), self._tick, entry)
        self.at(0.0, self._arrive)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            if self.now > self.traffic.until:
                return self
            call(*args)
        return self

    def kill(self, count):
        """Crash replicas for a reason of their own, all at the same moment."""
        for replica in self.rng.sample(self.replicas, count):
            if self.now >= replica.up_at:
                self._crash(replica)

    def _tick(self, entry):
        entry.crashes.tick(self.now)
        self.at(self.now + TICK_S, self._tick, entry)

    def _broadcast(self, sender, body):
        """Pass a message to the control nodes, which pass on what is new."""
        if self.rng.random() < self.loss:
            return True
        if self.control.heard(body, self.now):
            for entry in self.entries:
                if entry is not sender:
                    delay_s = self.rng.uniform(0.002, 0.06)
                    self.at(self.now + delay_s, self._hear, entry, body)
        return True

    def _hear(self, entry, body):
        entry.crashes.handle_marks(body, self.now)

    def _arrive(self):
        traffic = self.traffic
        self.at(self.now + self.rng.expovariate(traffic.rate), self._arrive)
        number = next(self._numbers)
        first = self.rng.randrange(traffic.first_parts)
        parts = [f'first{first}', f'last{number}']
        guilty = ''
        if self.now >= traffic.guilty_from:
            # Such requests share one first part, as sound ones do.
            for part, share in traffic.guilty.items():
                if self.rng.random() < share:
                    guilty, first = part, 0
                    parts[0] = 'first0'
                    parts.insert(traffic.position, part)
                    break
        work = SimpleNamespace(
            fingerprint=b'%d' % number,
            shared_parts=shared_parts('m', parts),
            req=SimpleNamespace(
                request_id=str(number),
                parts=[SimpleNamespace(part_id=p) for p in parts],
            ),
            sent_at=0.0,
            last_event_at=0.0,
            has_lived=False,
        )
        entry = self.rng.choice(self.entries)
        self._try(Run(work=work, entry=entry, replica=None, guilty=guilty, sends=0))

    def _try(self, run):
        ready = [r for r in self.replicas if self.now >= r.up_at]
        free = [r for r in ready if len(r.runs) < r.slots]
        if not free:
            self.waiting.append(run)
            return
        is_first = run.sends == 0
        try:
            run.entry.crashes.check_send(run.work, self.now)
        except TurnedAway:
            self._count_sound(run, admitted=False, is_first=is_first)
            return
        self._count_sound(run, admitted=True, is_first=is_first)
        run.sends += 1
        run.work.sent_at = self.now
        run.replica = min(free, key=lambda r: len(r.runs))
        run.replica.runs.append(run)
        if run.guilty:
            self.guilty_sends[run.guilty].append(self.now)
            self.at(self.now + self.rng.uniform(0.09, 0.4), self._begin, run)
        else:
            self.at(self.now + self.rng.uniform(0.15, 1.2), self._deliver, run)

    def _count_sound(self, run, *, admitted, is_first):
        if not run.guilty and is_first:
            first = run.work.req.parts[0].part_id
            self.sound.append((self.now, first, admitted))

    def _begin(self, run):
        if run in run.replica.runs:
            self._crash(run.replica, run.guilty)

    def _deliver(self, run):
        if run not in run.replica.runs:
            return
        run.replica.runs.remove(run)
        target = record(replica=run.replica.name, born_ms=run.replica.born_ms)
        run.entry.crashes.record_result(run.work, target, Delivered(), self.now)
        self._serve_waiting()

    def _crash(self, replica, guilty=''):
        if guilty:
            self.crashes[guilty].append(self.now)
        ended = record(replica=replica.name, born_ms=replica.born_ms)
        runs, replica.runs = replica.runs, []
        replica.up_at = self.now + RESTART_S
        # Entries learn of the end from the directory, at their next tick.
        replica.born_ms += 1
        self.at(replica.up_at, self._serve_waiting)
        result = Lost(reason='BrokenOff', delivered=False, broken_off=True)
        for run in runs:
            run.entry.crashes.record_result(run.work, ended, result, self.now)
            if run.sends <= self.traffic.retries:
                self.at(self.now + 0.007, self._try, run)

    def _serve_waiting(self):
        waiting, self.waiting = self.waiting, []
        for run in waiting:
            self._try(run)

    def late_sends(self, part):
        """Return the sends with a part later than its bound."""
        crashes = self.crashes[part]
        if len(crashes) < COUNTED_CRASHES:
            return []
        bound = crashes[COUNTED_CRASHES - 1] + CONTACT_WINDOW_S
        return [at for at in self.guilty_sends[part] if at > bound]

    def admitted_share(self, first_part, since):
        """Return the share of sound requests with a first part that were sent."""
        found = [ok for at, part, ok in self.sound if part == first_part and at > since]
        return sum(found) / len(found)
