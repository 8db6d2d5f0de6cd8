"""A virtual world of gates whose engines change their speed several times a second."""

from __future__ import annotations

import random

import attrs

from pistachiopath.engine_state.report import EngineReport, RunProgress
from pistachiopath.messages.grants import Ask, ReleasePlace

from .gate_jobs import OUTPUT_MS, PROMPT_MS
from .gates_world import GatesWorld

DRAWN_EVERY_S = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
REPORT_S = 0.15
# Events of the tests' engines have this many tokens.
EVENT_TOKENS = 24


class UnevenWorld(GatesWorld):
    """Draws anew every 0.6 s which engines are slow, as in deployment B.

    With `switch` the gates measure and the entries place by that.  `has_report` tells
    by engine and time whether the engine answers its agent.
    """

    def __init__(self, patch, *, switch, has_report=lambda name, now: True, **options):
        super().__init__(patch, **options)
        self.switch = switch
        self.has_report = has_report
        self.seed = options['seed']
        self.active = {name: {} for name in self.gates}
        self.report_at = {
            name: REPORT_S * n / len(self.gates) for n, name in enumerate(self.gates)
        }
        self.drawn = {}
        for entry in self.entries:
            choose, cost = entry.placement.choose, entry.placement.cost
            entry.placement.choose = self._switched(choose)
            entry.placement.cost = self._switched(cost)

    def _switched(self, decide):
        def decide_for(candidates, need, *args, **options):
            need = attrs.evolve(need, is_final_urgent=self.switch)
            return decide(candidates, need, *args, **options)

        return decide_for

    def factor(self, name, epoch):
        """Return how much slower than usual an engine is in one span of 0.6 s."""
        key = (name, epoch)
        if key not in self.drawn:
            rng = random.Random(f'{self.seed} {name} {epoch}')
            self.drawn[key] = SLOW_FACTOR if rng.random() < SLOW_SHARE else 1.0
        return self.slowness[name] * self.drawn[key]

    def end_of(self, name, since, work_s):
        """Return when an engine has done some work, in seconds at nominal speed."""
        epoch, at = int(since / DRAWN_EVERY_S), since
        while True:
            until = (epoch + 1) * DRAWN_EVERY_S
            factor = self.factor(name, epoch)
            if at + work_s * factor <= until:
                return at + work_s * factor
            work_s -= (until - at) / factor
            at, epoch = until, epoch + 1

    def work_done(self, name, since, now):
        """Return the work done since a time, in seconds at nominal speed."""
        epoch, at, work_s = int(since / DRAWN_EVERY_S), since, 0.0
        while at < now:
            until = min(now, (epoch + 1) * DRAWN_EVERY_S)
            work_s += (until - at) / self.factor(name, epoch)
            at, epoch = until, epoch + 1
        return work_s

    def run(self, entry, job, name):
        replica = job.candidate.record.replica
        now = self.net.now
        first_at = self.end_of(replica, now, job.prompt * PROMPT_MS / 1000)
        ends_at = self.end_of(replica, first_at, job.output * OUTPUT_MS / 1000)
        job.first_token_at = first_at
        job.engine_s = ends_at - now
        body = ReleasePlace(
            request=name, first_ms=int(1000 * (first_at - now)), ok=True
        )
        self.active[replica][name] = (first_at, job)

        def end():
            del self.active[replica][name]
            entry.placement.remove_request(replica)
            self.send_to_gate(entry, replica, body)

        self.net.at(ends_at, end)

    def report(self, name):
        now = self.net.now
        runs = []
        for run, (first_at, job) in self.active[name].items():
            made = int(self.work_done(name, first_at, now) * 1000 / OUTPUT_MS)
            events = made // EVENT_TOKENS
            tokens = job.prompt + events * EVENT_TOKENS
            runs.append(RunProgress(name=run, tokens=tokens, events=events))
        return EngineReport(runs=tuple(runs))

    def send_to_gate(self, entry, name, body):
        if isinstance(body, Ask):
            body = attrs.evolve(body, is_final_urgent=self.switch)
        super().send_to_gate(entry, name, body)

    def _tick(self):
        now = self.net.now
        for name, gate in self.gates.items():
            if self.switch and now >= self.report_at[name]:
                self.report_at[name] = now + REPORT_S
                if self.has_report(name, now):
                    report = self.report(name)
                    if gate.engine.record_report(report, now, now):
                        self._carry_out(name, gate.tell_watchers(now))
        super()._tick()

    def mean_first_ms(self):
        """Return the mean time to the first event; unserved ones count the limit."""
        times = [
            (job.first_token_at or job.arrived_at + job.kind.timeout_s) - job.arrived_at
            for job in self.jobs
        ]
        return 1000 * sum(times) / len(times)
