"""An entry of `gates_world` that places requests at gates."""

from __future__ import annotations

import random

from pistachiopath.grants.watch import KnownLoad, LoadWatch
from pistachiopath.messages.grants import (
    Denied,
    GateLoad,
    Granted,
    ReleasePlace,
)
from pistachiopath.relay.attempts import EarlierAttempts
from pistachiopath.relay.placer import MAX_DENIALS, Placer
from pistachiopath.routing.placement import Candidate, Placement


class PlacingEntry:
    """An entry; also provides the `targets` interface that the placer needs."""

    def __init__(self, world, name, seed):
        self.world = world
        self.name = name
        self.attempts = EarlierAttempts()
        self.loads = LoadWatch(own_address=name)
        self.placement = Placement(zone='a', rng=random.Random(seed))
        self.placer = Placer(
            places=None,
            placement=self.placement,
            targets=self,
            is_quarantined=lambda work, now: False,
            rng=random.Random(seed + 1),
        )
        self.waiting = {}

    def gate(self, replica_record):
        return replica_record.replica

    def first_backoff_end(self, service, now):
        return None

    def draining(self, service, excluded, now):
        return []

    def may_resume(self, replica_record, now):
        return True

    def is_version_gone(self, version, now):
        return False

    def candidates(self, service, excluded, now):
        return [
            self._candidate(item, now)
            for item in self.world.records
            if item.replica not in excluded
        ]

    def _candidate(self, item, now):
        load = self.loads.get(item.replica, now)
        if self.world.all_loads_known:
            current = self.world.gates[item.replica].load(now)
            load = KnownLoad(load=current, received_at=now)
        return Candidate(
            record=item,
            load=load,
            is_silent=False,
            ungated_places=1,
            awaits_gate=self.loads.is_awaited(item.replica, now),
            last_load=self.loads.last(item.replica),
        )

    def place(self, job):
        job.candidate = self.placer.choose(job.work)
        job.placed_at = self.world.net.now
        job.attempts += 1
        replica = job.candidate.record.replica
        self.placement.add_request(replica, job.work.need, self.world.net.now)
        self.waiting[f'{job.number}.{job.attempts}'] = job
        self.world.ask(self, job)

    def release(self, job, name):
        del self.waiting[name]
        replica = job.candidate.record.replica
        self.placement.remove_request(replica)
        body = ReleasePlace(request=name, first_ms=0, ok=False)
        self.world.send_to_gate(self, replica, body)

    def receive(self, gate, body):
        now = self.world.net.now
        if isinstance(body, GateLoad):
            self.loads.record_load(gate, body, now)
            self.move_waiting(gate)
        elif body.request in self.waiting:
            job = self.waiting[body.request]
            if isinstance(body, Granted):
                del self.waiting[body.request]
                self.world.run(self, job, body.request)
            elif isinstance(body, Denied):
                self.release(job, body.request)
                is_new = gate not in job.work.denied
                job.work.denied.add(gate)
                if is_new and len(job.work.denied) < MAX_DENIALS:
                    self.place(job)
                else:
                    self.attempts.failed(job.work.admitted.route)
                    self.world.refuse(self, job, body.retry_after_ms / 1000)

    def move_waiting(self, gate=None):
        """Move waiting requests, of one gate or of all, to gates that are better."""
        for name, job in list(self.waiting.items()):
            if gate not in (None, job.candidate.record.replica):
                continue
            if self.placer._should_move(job.work, job.candidate, job.placed_at):
                self.release(job, name)
                self.place(job)
