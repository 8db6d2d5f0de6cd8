"""Gates that are short of capacity for seconds, in virtual time."""

from __future__ import annotations

import random

import attrs

from pistachiopath.grants.gate import GrantGate

from .gate_jobs import Job, JobKind
from .gates_world import GatesWorld

# Callers come back within a third of their remaining time, a few times.
RETURN_SHARE = 1 / 3
MAX_REFUSALS = 4
START_S = 0.5
# Part of the load by customer: a few generate most of it.
CUSTOMER_WEIGHTS = {f'c{n}': 1 / (n + 1) for n in range(12)}


def kind(tier, share, prompts, outputs, objective_s, timeout_s):
    return JobKind(
        tier=tier,
        share=share,
        prompts=prompts,
        outputs=outputs,
        objective_s=objective_s,
        timeout_s=timeout_s,
        pause_s=0.4,
    )


# Times of places as in deployment B: the third tier takes two thirds of the engines.
KINDS = (
    kind(0, 131, (600, 2000, 6000), (70, 200, 360), 0.55, 6.0),
    kind(1, 89, (400, 1500, 3600), (30, 90, 160), 0.43, 5.0),
    kind(2, 77, (200, 500, 1100), (400, 1000, 1900), 0.42, 15.8),
)


@attrs.define(kw_only=True)
class Outcomes:
    """What the callers of some requests got."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    never: int = 0
    refused_once: int = 0
    refused_repeatedly: int = 0
    refusals: int = 0

    @property
    def in_time_share(self):
        return self.in_time / max(1, self.requests)

    @property
    def served_share(self):
        return (self.in_time + self.late) / max(1, self.requests)

    def __add__(self, other):
        counts = attrs.asdict(other).items()
        return Outcomes(**{k: getattr(self, k) + v for k, v in counts})

    def row(self):
        """Return the counts as text."""
        return ' '.join(f'{k}={v}' for k, v in attrs.asdict(self).items())


class SharesWorld(GatesWorld):
    """Plays a load with a burst, with or without the switch of `shares`.

    From `burst_from` to `burst_to` the customer `burst_customer`, or every one if it
    is empty, sends `burst_factor` times as much.
    """

    def __init__(
        self,
        patch,
        *,
        has_shares,
        seed=1,
        gates=4,
        entries=4,
        burst_from=4.0,
        burst_to=7.0,
        burst_factor=1.0,
        burst_customer='',
    ):
        super().__init__(
            patch, entries=entries, gates=gates, seed=seed, kinds=KINDS, slots=8
        )
        self.has_shares = has_shares
        self.burst_from = burst_from
        self.burst_to = burst_to
        self.burst_factor = burst_factor
        self.burst_customer = burst_customer
        self.lost = set()
        # Both ways of deciding are given the same load.
        self.load_rng = random.Random(seed)

    def ask_fields(self, job):
        return {
            'is_final_urgent': self.has_shares,
            'spent_ms': job.work.spent_ms if self.has_shares else 0,
        }

    def refuse(self, entry, job, wait_s):
        job.refusals += 1
        now = self.net.now
        remaining_s = job.deadline_at - now
        if remaining_s > 0 and job.refusals < MAX_REFUSALS:
            told_s = entry.placer._retry_after_s(job.work, wait_s)
            back_s = min(told_s, remaining_s * RETURN_SHARE)
            self.net.at(now + back_s, lambda: self._begin(job))

    def restart_gate(self, name):
        """Replace a gate by one without state; runs on the engine go on."""
        self.gates[name] = GrantGate()
        for entry in self.entries:
            for request, job in list(entry.waiting.items()):
                if job.candidate.record.replica == name:
                    entry.release(job, request)
                    entry.place(job)

    def lose_entry(self, entry):
        """End an entry; its callers come back at others."""
        self.lost.add(entry.name)
        self.entries.remove(entry)
        jobs, entry.waiting = list(entry.waiting.values()), {}
        for gate in self.gates.values():
            gate.entry_lost(entry.name, self.net.now)
        for job in jobs:
            self._begin(job)

    def send_to_gate(self, entry, name, body):
        if entry.name not in self.lost:
            super().send_to_gate(entry, name, body)

    def _draw(self, customer, at):
        """Schedule a new request of a customer."""
        rng = self.load_rng
        kind = rng.choices(self.kinds, [k.share for k in self.kinds])[0]
        job = Job(
            number=0,
            kind=kind,
            work=None,
            prompt=rng.choice(kind.prompts),
            output=rng.choice(kind.outputs),
            arrived_at=at,
            deadline_at=at + kind.timeout_s,
            customer=customer,
        )
        self.net.at(at, lambda: self._arrive(job))

    def _arrive(self, job):
        job.number = len(self.jobs)
        self.jobs.append(job)
        self._begin(job)

    def play_burst(self, seconds, load):
        """Offer a share of the engines' capacity, and more during the burst."""
        total = sum(k.share for k in self.kinds)
        mean_ms = sum(k.share * k.mean_ms for k in self.kinds) / total
        speed = sum(1 / s for s in self.slowness.values())
        rate = load * speed * self.slots * 1000 / mean_ms
        weights = sum(CUSTOMER_WEIGHTS.values())
        for customer, weight in CUSTOMER_WEIGHTS.items():
            self._schedule(customer, rate * weight / weights, seconds)
        self.net.run_until(seconds + max(k.timeout_s for k in self.kinds))

    def _schedule(self, customer, rate, seconds):
        """Schedule the arrivals of a customer by thinning those of its burst."""
        bursts = self.burst_customer in ('', customer)
        most = rate * max(1.0, self.burst_factor if bursts else 1.0)
        at = START_S
        while True:
            at += self.load_rng.expovariate(most)
            if at >= seconds:
                return
            in_burst = bursts and self.burst_from <= at < self.burst_to
            rate_now = rate * (self.burst_factor if in_burst else 1.0)
            if self.load_rng.random() < rate_now / most:
                self._draw(customer, at)

    def outcomes(self, key=lambda job: ''):
        """Return what the callers got by a key of their requests."""
        found = {}
        for job in self.jobs:
            if key(job) is None:
                continue
            out = found.setdefault(key(job), Outcomes())
            begun_at = job.first_token_at
            out.requests += 1
            out.refusals += job.refusals
            out.refused_once += job.refusals == 1
            out.refused_repeatedly += job.refusals > 1
            if job.is_in_time:
                out.in_time += 1
            elif begun_at is not None and begun_at <= job.deadline_at:
                out.late += 1
            else:
                out.never += 1
        return dict(sorted(found.items()))
