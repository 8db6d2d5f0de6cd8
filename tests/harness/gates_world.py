"""Entries and gates in virtual time, with the product's placement decisions."""

from __future__ import annotations

import random

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.grants.gate import GrantGate
from pistachiopath.messages.grants import (
    Ask,
    ReleasePlace,
    WatchLoad,
)
from pistachiopath.relay import placer as placer_module
from pistachiopath.relay.patience import patience_s
from pistachiopath.streams.service_version import version_of
from tests.test_directory.records import record
from tests.test_relay.streams import stream_work

from .gate_jobs import OUTPUT_MS, PROMPT_MS, USUAL_KINDS, Job
from .network import VirtualNetwork
from .placing_entry import PlacingEntry

SLOTS = 5
TICK_S = 0.05
# Engines of one service differ in speed.
SLOWNESS = (1.0, 1.0, 1.5)


class GatesWorld:
    """Simulates a load.

    With `all_loads_known` entries know the current load of every gate, and
    with `callers_return` a refused caller comes back once, when it is told to.
    The share `resumed_share` of the requests go on with streams, at one of the
    `old_gates` first replicas, which run the version that began them.
    """

    def __init__(
        self,
        patch,
        *,
        entries,
        gates,
        seed,
        all_loads_known=False,
        kinds=USUAL_KINDS,
        slots=SLOTS,
        callers_return=False,
        resumed_share=0.0,
        old_gates=0,
    ):
        self.kinds = kinds
        self.slots = slots
        self.callers_return = callers_return
        self.resumed_share = resumed_share
        self.net = VirtualNetwork(seed=seed)
        self.rng = random.Random(seed)
        self.all_loads_known = all_loads_known
        self.gates = {f'g{n}:1': GrantGate() for n in range(gates)}
        self.records = [
            record(
                replica=name,
                address=f'10.0.{n // 200}.{n % 200}:80',
                slots=slots,
                software_version='v1' if n < old_gates else 'v2',
            )
            for n, name in enumerate(self.gates)
        ]
        self.slowness = {
            name: SLOWNESS[n % len(SLOWNESS)] for n, name in enumerate(self.gates)
        }
        self.entries = [PlacingEntry(self, f'e{n}', seed + n) for n in range(entries)]
        self.by_name = {e.name: e for e in self.entries}
        self.jobs = []
        self.messages = 0
        patch.setattr(placer_module, 'time', self)
        self.net.at(0.0, self._tick)

    def monotonic(self):
        return self.net.now

    def _tick(self):
        now = self.net.now
        slots = dict.fromkeys(self.gates, self.slots)
        for entry in self.entries:
            # Watched gates are a set, whose order differs between processes.
            sends = entry.loads.tick(slots, now)
            for send in sorted(sends, key=lambda s: s.to):
                self.send_to_gate(entry, send.to, send.body)
            entry.move_waiting()
        for name, gate in self.gates.items():
            self._carry_out(name, gate.tick(now))
        self.net.at(now + TICK_S, self._tick)

    def ask(self, entry, job):
        now, work = self.net.now, job.work
        objective_s = job.kind.objective_s - (now - work.first_attempt_at)
        body = Ask(
            request=f'{job.number}.{job.attempts}',
            tier=job.kind.tier,
            customer=job.customer,
            prompt_tokens=job.prompt,
            output_tokens=job.output,
            objective_ms=max(0, int(1000 * objective_s)),
            deadline_ms=int(1000 * work.remaining_s(now)),
            patience_ms=max(1, int(1000 * patience_s(work, now))),
            slots=self.slots,
            is_resumed=work.stream_version is not None,
            **self.ask_fields(job),
        )
        self.send_to_gate(entry, job.candidate.record.replica, body)

    def ask_fields(self, job):
        """Return further fields of the request for a place."""
        return {}

    def refuse(self, entry, job, wait_s):
        """Let the caller come back once, if it has the time, with a new attempt."""
        retry_after_s = entry.placer._retry_after_s(job.work, wait_s)
        job.refusals += 1
        if self.callers_return and job.refusals == 1:
            self.net.at(self.net.now + retry_after_s, lambda: self._begin(job))

    def send_to_gate(self, entry, name, body):
        self.messages += 1
        self.net.send(
            entry.name, name, lambda: self._deliver_to_gate(entry.name, name, body)
        )

    def _deliver_to_gate(self, sender, name, body):
        gate = self.gates[name]
        now = self.net.now
        handle = {Ask: gate.ask, ReleasePlace: gate.release, WatchLoad: gate.watch}
        self._carry_out(name, handle[type(body)](sender, body, now))

    def _carry_out(self, name, effects):
        for effect in effects:
            self.messages += 1
            entry = self.by_name[effect.to]
            self.net.send(
                name, effect.to, lambda e=entry, b=effect.body: e.receive(name, b)
            )

    def run(self, entry, job, name):
        replica = job.candidate.record.replica
        slowness = self.slowness[replica]
        first_ms = job.prompt * PROMPT_MS * slowness
        job.first_token_at = self.net.now + first_ms / 1000
        ends_at = job.first_token_at + job.output * OUTPUT_MS * slowness / 1000
        job.engine_s = ends_at - self.net.now
        body = ReleasePlace(request=name, first_ms=int(first_ms), ok=True)

        def end():
            entry.placement.remove_request(replica)
            self.send_to_gate(entry, replica, body)

        self.net.at(ends_at, end)

    def arrive(self):
        """Place a new request at a random entry."""
        weights = [kind.share for kind in self.kinds]
        kind = self.rng.choices(self.kinds, weights)[0]
        early_share = self.rng.uniform(0.0, kind.deadline_spread)
        job = Job(
            number=len(self.jobs),
            kind=kind,
            work=None,
            prompt=self.rng.choice(kind.prompts),
            output=self.rng.choice(kind.outputs),
            arrived_at=self.net.now,
            deadline_at=self.net.now + kind.timeout_s * (1 - early_share),
            is_resumed=self._is_resumed(),
        )
        self.jobs.append(job)
        self._begin(job)

    def _is_resumed(self):
        return bool(self.resumed_share) and self.rng.random() < self.resumed_share

    def _begin(self, job):
        """Begin an attempt at a random entry."""
        now, kind = self.net.now, job.kind
        entry = self.rng.choice(self.entries)
        job.work = stream_work(
            now,
            tier=kind.tier,
            timeout_s=kind.timeout_s,
            objective_s=kind.objective_s,
            pause_s=kind.pause_s,
            deadline_s=job.deadline_at - now,
            attempts=entry.attempts,
        )
        if job.is_resumed:
            job.work.stream_version = version_of(self.records[0])
        try:
            entry.place(job)
        except TurnedAway:
            entry.attempts.failed(job.work.admitted.route)
            job.refusals += 1

    def play(self, seconds, load):
        """Offer a share of the engines' capacity; return the share served in time."""
        shares = sum(kind.share for kind in self.kinds)
        mean_ms = sum(kind.share * kind.mean_ms for kind in self.kinds) / shares
        speed = sum(1 / s for s in self.slowness.values())
        rate = load * speed * self.slots * 1000 / mean_ms
        at = 0.5
        while at < seconds:
            self.net.at(at, self.arrive)
            at += self.rng.expovariate(rate)
        self.net.run_until(seconds + max(kind.timeout_s for kind in self.kinds))
        return sum(job.is_in_time for job in self.jobs) / len(self.jobs)
