"""Simulates a workload under a policy in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from ..claims.submission import Submission
from ..engine.profile import EngineProfile
from ..gate.limits import GateLimits
from ..gate.run import RunState
from ..messages.dispatch import Dispatch, End, NotStarted, Work
from ..routing.chooser import Choice
from ..routing.prefix import CHUNK_TOKENS
from ..routing.targets import TargetTable
from .bound import min_prefill_tokens
from .clock import Clock
from .job import Job
from .plan import Arrival, make_plan
from .sim_target import SimTarget
from .target_reports import TargetReports

if TYPE_CHECKING:
    from ..effects import Send
    from .condition import Condition
    from .policy import Policy
    from .workload import Workload

CLAIM_LATENCY_S = 0.006
TICK_S = 0.1
WARM_UP_S = 5.0
BLOCK_TOKENS = 16
MAX_TRIES = 4
STRAGGLER_SLOWDOWN = 5.0
PROFILES = tuple(
    EngineProfile(
        prefill_tokens_s=prefill,
        decode_tokens_s=decode,
        max_batch=batch,
        cache_blocks=cache,
    )
    for prefill, decode, batch, cache in (
        (4000.0, 45.0, 8, 4000),
        (6000.0, 60.0, 8, 6000),
        (10000.0, 80.0, 12, 8000),
        (16000.0, 110.0, 16, 12000),
        (24000.0, 140.0, 16, 16000),
    )
)


class Experiment:
    """Simulated targets, entries with their own target tables, and jobs of a plan."""

    def __init__(
        self,
        *,
        workload: Workload,
        policy: Policy,
        condition: Condition,
        seed: int,
        duration_s: float,
        targets: int = 10,
        entries: int = 3,
        rate_scale: float = 1.0,
    ) -> None:
        self.clock = Clock()
        self.jobs: list[Job] = []
        self.wasted_tokens = 0
        self.shed_while_lower_ran = 0
        self._policy = policy
        self._condition = condition
        self._duration_s = duration_s
        self._rng = random.Random(f'{seed} {policy.name}')
        self._prompts: dict[bytes, tuple[int, ...]] = {}
        self._chunks: dict[bytes, tuple[int, ...]] = {}
        self._jobs_by_key: dict[bytes, Job] = {}
        self.targets = {
            f't{n}': self._make_target(f't{n}', PROFILES[n % len(PROFILES)])
            for n in range(targets)
        }
        tables = [TargetTable() for _ in range(entries)]
        self._reports = TargetReports(
            clock=self.clock,
            targets=self.targets,
            tables=tables,
            lag_s=condition.report_lag_s,
        )
        self._choosers = [
            policy.make_chooser(table, random.Random(f'{seed} {n}'))
            for n, table in enumerate(tables)
        ]
        self._plan = [
            arrival
            for arrival in make_plan(
                workload,
                seed=seed,
                duration_s=duration_s,
                scale=rate_scale * condition.scale,
                burst=condition.burst,
            )
            if not arrival.kind.service
        ]

    @property
    def slowed_at(self) -> float:
        """Time at which the straggler becomes slow."""
        return self._duration_s / 3

    def min_prefill_tokens(self) -> int:
        """Return a lower bound of the prompt tokens that engines must process."""
        return min_prefill_tokens(self._plan)

    def run(self) -> list[Job]:
        """Run the simulation; return the jobs."""
        self._reports.start()
        for number, arrival in enumerate(self._plan):
            entry = number % len(self._choosers)
            self.clock.after(
                WARM_UP_S + arrival.at,
                lambda a=arrival, e=entry: self._submit_arrival(a, e),
            )
        if self._condition.killed:
            self.clock.after(self._duration_s / 2, self._kill_target)
        if self._condition.departed:
            self.clock.after(self._duration_s / 2, self._depart_target)
        if self._condition.emptied:
            self.clock.after(self._duration_s / 2, self._clear_cache)
        if self._condition.straggler:
            self.clock.after(self.slowed_at, self._slow_down)
        self._tick_targets()
        self.clock.run_until(self._duration_s * 2 + 30)
        return self.jobs

    def _tick_targets(self) -> None:
        for target in self.targets.values():
            target.tick()
        self.clock.after(TICK_S, self._tick_targets)

    # Faults

    def _kill_target(self) -> None:
        self.targets[self._condition.killed].alive = False

    def _depart_target(self) -> None:
        self.targets[self._condition.departed].depart()

    def _clear_cache(self) -> None:
        self.targets[self._condition.emptied].engine.cache.clear()

    def _slow_down(self) -> None:
        engine = self.targets[self._condition.straggler].engine
        engine.profile = attrs.evolve(engine.profile, slowdown=STRAGGLER_SLOWDOWN)

    # Requests

    def _submit_arrival(self, arrival: Arrival, entry: int) -> None:
        key = arrival.number.to_bytes(16, 'big')
        job = Job(
            arrival=attrs.evolve(arrival, at=self.clock.now),
            submission=self._make_submission(arrival, key),
            entry=entry,
        )
        self.jobs.append(job)
        self._jobs_by_key[key] = job
        self._choose_target(job)

    def _make_submission(self, arrival: Arrival, key: bytes) -> Submission:
        kind = arrival.kind
        ignore_priorities = not self._policy.priorities
        ranks = {'notice': 0, 'manuscript': 0, 'filing': 1, 'style': 1}
        self._prompts[key] = _prefix_hashes(arrival, BLOCK_TOKENS)
        self._chunks[key] = _prefix_hashes(arrival, CHUNK_TOKENS)
        return Submission(
            key=key,
            fingerprint=key,
            attempt=key,
            named=True,
            work=Work(
                path='',
                model='m',
                customer=arrival.customer,
                tier=0 if ignore_priorities else ranks.get(kind.tier, 2),
                promised=True if ignore_priorities else kind.promised,
                prompt_tokens=arrival.prompt_tokens,
                output_tokens=arrival.output_tokens,
            ),
            submitted_at=self.clock.now,
            deadline=self.clock.now + (1e6 if ignore_priorities else kind.deadline_s),
            prefix=self._chunks[key],
        )

    def _choose_target(self, job: Job) -> None:
        chooser = self._choosers[job.entry]
        job.tries += 1
        choice = chooser.choose(job.submission, frozenset(job.excluded), self.clock.now)
        if not isinstance(choice, Choice) or job.tries > MAX_TRIES:
            self._end_job(job, 'refused')
            return
        job.target = choice.target
        msg = Dispatch(
            key=job.submission.key,
            binding=job.tries,
            incarnation=1,
            deadline_ms=int((job.submission.deadline - self.clock.now) * 1000),
            work=job.submission.work,
        )
        target = self.targets[choice.target]
        self.clock.after(
            CLAIM_LATENCY_S, lambda: self._dispatch(target, f'e{job.entry}', msg)
        )

    def _dispatch(self, target: SimTarget, entry: str, msg: Dispatch) -> None:
        prompt = self._prompts[msg.key]
        most_cached = max(
            _cached_blocks(t, prompt) for t in self.targets.values() if t.alive
        )
        missed_blocks = max(0, most_cached - _cached_blocks(target, prompt))
        self.wasted_tokens += missed_blocks * BLOCK_TOKENS
        target.receive(entry, msg)

    def _on_send(self, _target: str, send: Send) -> None:
        body = send.body
        job = self._jobs_by_key.get(getattr(body, 'key', b''))
        if job is None or job.outcome:
            return
        if isinstance(body, End):
            self._end_job(job, body.outcome.kind)
        elif isinstance(body, NotStarted) and body.binding == job.tries:
            job.excluded.add(job.target)
            if body.reason in ('shed', 'deadline'):
                self._end_job(job, body.reason)
            else:
                self._choose_target(job)

    def _end_job(self, job: Job, outcome: str) -> None:
        refused = outcome in ('refused', 'shed')
        if refused and job.arrival.kind.promised and self._runs_unpromised_work():
            self.shed_while_lower_ran += 1
        job.outcome = outcome
        job.ended_at = self.clock.now
        self._choosers[job.entry].ended(job.submission)

    def _runs_unpromised_work(self) -> bool:
        """Tell whether any target is running work that is not promised."""
        return any(
            run.state is RunState.RUNNING and not run.work.promised
            for target in self.targets.values()
            for run in target.gate.held()
        )

    def _make_target(self, name: str, profile: EngineProfile) -> SimTarget:
        window = profile.max_batch if self._policy.priorities else 10_000
        return SimTarget(
            name=name,
            profile=profile,
            clock=self.clock,
            limits=GateLimits(window=window, max_queued=256),
            prompts=self._prompts,
            chunks=self._chunks,
            on_send=self._on_send,
        )


def _cached_blocks(target: SimTarget, prompt: tuple[int, ...]) -> int:
    return target.engine.cache.count_cached(prompt)


def _prefix_hashes(arrival: Arrival, tokens: int) -> tuple[int, ...]:
    """Return substitutes for chained prefix hashes, equal for equal documents."""
    owner = arrival.document if arrival.document >= 0 else -1 - arrival.number
    count = arrival.prompt_tokens // tokens
    return tuple((owner << 20) + position for position in range(count))
