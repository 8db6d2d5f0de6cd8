"""A rollout in virtual time: entries, a leader and replicas of two versions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from pistachiopath.messages.rollout_orders import OrderRollout
from pistachiopath.rollouts.bounds import RolloutBounds
from pistachiopath.rollouts.counts import EntryCounts, TryEnd
from pistachiopath.rollouts.director import RolloutDirector
from pistachiopath.rollouts.split import TrafficSplit
from pistachiopath.rollouts.state import RolloutStage, RolloutState
from pistachiopath.rollouts.store import RolloutStore

SERVICE = 's'
OLD, NEW = 'v1', 'v2'
BOUNDS = RolloutBounds(exposure_share=0.1)
TURN_S = 0.05
REPORT_S = 0.5
POLL_S = 0.4
COMMIT_S = 0.03
PUSH_S = 0.02
# Route: share of the requests, ms to the first event, ms between events, events.
ROUTES = {'r0': (0.45, 120, 30, 7), 'r1': (0.35, 80, 30, 3), 'r2': (0.2, 60, 30, 40)}


class RolloutEntry:
    def __init__(self, world, name, session):
        self.name = name
        self.split = TrafficSplit(contact_s=BOUNDS.contact_s, rng=world.rng)
        self.counts = EntryCounts(session=session)
        self.is_cut = False

    def on_notices(self, notices, now):
        if not self.is_cut:
            for record in self.split.on_notices(notices, now):
                self.counts.begin(record.service, record.order)


class RolloutWorld:
    """Sends requests at `rate` a second to a service under a rollout.

    `fails` and `slows` give a new version's chance of a failure and the factor of
    its times, by route and time since the order.  In an `is_uneven` service engines
    run at 0.6 to 1.7 times the nominal speed, and 0.15 of them, drawn anew every
    0.6 s, 2.5 times slower.
    """

    def __init__(
        self,
        *,
        seed=1,
        rate=300.0,
        entries=40,
        replicas=24,
        duration_s=12.0,
        fails=lambda route, t: 0.0,
        slows=lambda route, t: 1.0,
        old_fails=0.01,
        new_ready_s=0.0,
        lost_reports=0.0,
        is_uneven=False,
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.rate, self.replicas, self.duration_s = rate, replicas, duration_s
        self.fails, self.slows, self.old_fails = fails, slows, old_fails
        self.new_ready_s, self.lost_reports = new_ready_s, lost_reports
        self.speeds = (
            {
                version: [self.rng.uniform(0.6, 1.7) for _ in range(replicas)]
                for version in (OLD, NEW)
            }
            if is_uneven
            else None
        )
        self.has_old = True
        self.is_core_up = True
        self.events = []
        self.serials = itertools.count()
        self.store = RolloutStore()
        self.new_leader()
        self.sessions = itertools.count(1)
        self.entries = [
            RolloutEntry(self, f'e{i}', next(self.sessions)) for i in range(entries)
        ]
        self.log = []
        self.sent_new, self.sent_all, self.bad_at = [], [], []
        self.states = []
        self.open_old = 0

    def new_leader(self):
        self.director = RolloutDirector(bounds=BOUNDS, ready=self.ready)

    def at(self, when, run):
        heapq.heappush(self.events, (when, next(self.serials), run))

    def every(self, interval_s, run):
        def again():
            run()
            self.at(self.now + interval_s, again)

        self.at(self.now + interval_s * self.rng.random(), again)

    def ready(self, service, now):
        found = Counter()
        if self.has_old:
            found[OLD] = self.replicas
        if now - self.ordered_at >= self.new_ready_s:
            found[NEW] = self.replicas
        return found

    def start(self):
        self.ordered_at = self.now
        order = OrderRollout(
            service=SERVICE,
            to=NEW,
            duration_ms=int(self.duration_s * 1000),
            serving=(OLD,),
        )
        assert not self.store.apply_order(
            self.store.stamped(order, BOUNDS.repeat_s, self.now), self.now
        )
        self.push()
        self.every(TURN_S, self.turn)
        for entry in self.entries:
            self.every(REPORT_S, lambda e=entry: self.report(e))
            self.every(POLL_S, lambda e=entry: self.poll(e))
        self.at(self.now, self.arrive)

    @property
    def record(self):
        return self.store.records[SERVICE]

    @property
    def elapsed_s(self):
        return self.now - self.ordered_at

    def turn(self):
        if self.is_core_up:
            for body in self.director.turn(self.store, self.now):
                self.at(self.now + COMMIT_S, lambda b=body: self.commit(b))

    def commit(self, body):
        before = self.record
        self.store.apply_advance(body, self.now)
        record = self.record
        if (before.state, before.stage) != (record.state, record.stage):
            self.states.append((self.elapsed_s, record.state, record.stage))
            self.push()

    def push(self):
        for entry in self.entries:
            self.at(self.now + PUSH_S, lambda e=entry: self.poll(e))

    def poll(self, entry):
        entry.on_notices(self.store.notices(self.now), self.now)

    def report(self, entry):
        if entry.is_cut or self.rng.random() < self.lost_reports:
            return
        body = entry.counts.report({SERVICE})
        if body is not None and self.is_core_up:
            self.director.merge(entry.name, body, self.store, self.now)

    def restart(self, entry):
        self.entries[self.entries.index(entry)] = fresh = RolloutEntry(
            self, entry.name, next(self.sessions)
        )
        self.every(REPORT_S, lambda: self.report(fresh))
        self.every(POLL_S, lambda: self.poll(fresh))
        self.poll(fresh)

    def arrive(self):
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        entry = self.rng.choice(self.entries)
        route = self.rng.choices(list(ROUTES), [r[0] for r in ROUTES.values()])[0]
        version = self.version(entry, route)
        self.sent_all.append(self.now)
        if version == NEW:
            self.sent_new.append(self.now)
        else:
            self.open_old += 1
        order = entry.counts.sent(SERVICE, version, route)
        self.run_request(entry, route, version, order)

    def version(self, entry, route):
        serving = dict(self.ready(SERVICE, self.now))
        if entry.split.record(SERVICE) is None:
            return self.rng.choice(sorted(serving))
        allowed = entry.split.allowed(SERVICE, serving, self.now)
        if len(allowed) == 1:
            return next(iter(allowed))
        choice = entry.split.choose(SERVICE, route, 0, None)
        return NEW if choice.is_new else OLD

    def run_request(self, entry, route, version, order):
        _, first_ms, between_ms, events = ROUTES[route]
        size = int(2 ** self.rng.uniform(9, 12))
        is_new = version == NEW
        factor = self.rng.lognormvariate(0, 0.3)
        factor *= self.slows(route, self.elapsed_s) if is_new else 1.0
        factor *= self.engine_factor(version)
        p = self.fails(route, self.elapsed_s) if is_new else self.old_fails
        is_failed = self.rng.random() < p
        if is_new and (is_failed or self.slows(route, self.elapsed_s) >= 2):
            self.bad_at.append(self.now)
        first_ms *= factor * size / 1500
        took_ms = first_ms + (0 if is_failed else between_ms * factor * events)
        end = TryEnd(
            is_answered=not is_failed,
            is_failed=is_failed,
            prompt_tokens=size,
            first_ms=first_ms,
            between_ms=between_ms * factor,
        )

        def finish():
            self.open_old -= not is_new
            entry.counts.ended(SERVICE, version, route, order, end)

        self.at(self.now + took_ms / 1000, finish)

    def engine_factor(self, version):
        if self.speeds is None:
            return 1.0
        number = self.replicas
        if version == NEW and self.record.stage == RolloutStage.CANARY:
            number = max(1, round(self.record.share_ppm / 1e6 * self.replicas))
        engine = self.rng.randrange(number)
        epoch = random.Random(f'{version} {engine} {int(self.now / 0.6)}')
        slowdown = 2.5 if epoch.random() < 0.15 else 1.0
        return slowdown / self.speeds[version][engine]

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, run = heapq.heappop(self.events)
            run()
        self.now = until

    def run_until_ended(self, limit_s):
        until = self.now + limit_s
        while self.now < until and self.record.state == RolloutState.ACTIVE:
            self.run(0.05)

    def exposure(self):
        """Return the requests to the new version, and the bound on them."""
        deadline = self.ordered_at + self.duration_s
        total = sum(at <= deadline for at in self.sent_all)
        return len(self.sent_new), 0.1 * total + 50
