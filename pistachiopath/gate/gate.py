"""The agent's gate, the last step before a request reaches the engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..errors.outcomes import OutcomeKind
from ..messages.claims import FinishItem, OutcomeRecord
from ..messages.dispatch import Work
from .answers import accepted, not_held, not_started, publish, publish_to
from .effects import RecordOutcome, StartRun, StopRun
from .fairness import FairTags
from .load import load_of
from .queue import RunQueue
from .retention import Retention
from .run import Run, RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.dispatch import Attach, Cancel, Dispatch
    from ..messages.membership import Load
    from .limits import GateLimits


class Gate:
    """Runs each bound request at most once on one target incarnation.

    It keeps a bounded window of runs on the engine, and a priority queue for
    the requests of all entries.  A run that never started can be given back
    with a tombstone, the proof that allows it to be bound to another target.
    Methods return effects; `now` is the agent's monotonic clock in seconds.
    """

    def __init__(self, *, limits: GateLimits) -> None:
        self.incarnation = 0
        self.lease_until = 0.0
        self.departing = False
        self._limits = limits
        self._incarnations: set[int] = set()
        self._runs: dict[bytes, Run] = {}
        self._queue = RunQueue()
        self._running: dict[bytes, Run] = {}
        self._order = 0
        self._fair_tags = FairTags()
        self._retention = Retention(limits=limits)

    @property
    def is_idle(self) -> bool:
        """Return whether no run is queued, paused or running."""
        return not self._queue and not self._running

    def running(self) -> list[Run]:
        """Return the runs on the engine."""
        return list(self._running.values())

    def run(self, key: bytes) -> Run | None:
        """Return the run of a key, or None."""
        return self._runs.get(key)

    def held(self) -> list[Run]:
        """Return the queued, paused and running runs."""
        return [*self._queue, *self._running.values()]

    def load(self) -> Load:
        """Return the load to announce."""
        return load_of(
            queued=list(self._queue),
            running=self.running(),
            window=self._limits.window,
        )

    def start_incarnation(self, incarnation: int, now: float) -> list:
        """Start a new incarnation and give back the queue of the old one."""
        self.incarnation = incarnation
        if incarnation:
            self._incarnations.add(incarnation)
        return self.void_queue('incarnation', now)

    def depart(self, now: float) -> list:
        """Drain: accept no more work, give back the queue, finish the running work."""
        self.departing = True
        return self.void_queue('departing', now)

    def void_queue(self, reason: str, now: float) -> list:
        """Give back all queued runs that never started."""
        return self.void([run.key for run in self._queue], reason, now)

    def void(self, keys: Iterable[bytes], reason: str, now: float) -> list:
        """Give back those of the given runs that are queued and never started."""
        effects = []
        for key in keys:
            run = self._runs.get(key)
            if run is not None and run.state is RunState.QUEUED:
                effects += self._give_back(run, reason, now)
        return effects

    def dispatch(self, sender: str, msg: Dispatch, now: float) -> list:
        """Accept a bound request; a repeated dispatch does not run it again."""
        run = self._runs.get(msg.key)
        if run is not None and run.binding >= msg.binding:
            return self._answer_repeated(sender, run, msg.binding, now)
        is_foreign = msg.incarnation not in self._incarnations
        if is_foreign or (run is not None and run.state is not RunState.TOMBSTONE):
            # A request bound to an incarnation that this process never had may
            # have been run by another process.
            return [not_held(sender, msg)]
        refusal = self._refusal(msg)
        self._order += 1
        run = Run(
            key=msg.key,
            binding=msg.binding,
            work=msg.work,
            deadline=now + msg.deadline_ms / 1000,
            arrived_at=now,
            order=self._order,
        )
        run.subscribers[sender] = 0
        self._runs[msg.key] = run
        if refusal:
            return self._give_back(run, refusal, now)
        work = run.work
        tokens = work.prompt_tokens + work.output_tokens
        run.fair_tag = self._fair_tags.tag(work.tier, work.customer, tokens)
        self._queue.push(run)
        effects = [accepted(sender, run)]
        return effects + self._shed(now) + self._start_due(now)

    def attach(self, sender: str, msg: Attach, now: float) -> list:
        """Subscribe an entry to a run from a byte offset on."""
        run = self._runs.get(msg.key)
        if run is None and msg.recent and msg.incarnation in self._incarnations:
            run = self._tombstone_unseen(msg, now)
        if run is None or run.binding != msg.binding:
            return [not_held(sender, msg)]
        if run.state is RunState.TOMBSTONE:
            return [Send(to=sender, call=0, body=not_started(run))]
        run.subscribers[sender] = msg.offset
        # Without output to send, confirm that the run is held.
        return publish_to(sender, run) or [accepted(sender, run)]

    def cancel(self, sender: str, msg: Cancel, now: float) -> list:
        """Unsubscribe an entry; stop a repeatable run that has no subscriber left."""
        run = self._runs.get(msg.key)
        if run is None or run.binding != msg.binding:
            return []
        run.subscribers.pop(sender, None)
        if run.subscribers or run.work.once:
            return []
        if run.state is RunState.QUEUED:
            return self._give_back(run, 'cancelled', now)
        if run.state is RunState.PAUSED:
            self._queue.remove(run)
            return self._end_cancelled(run, now)
        if run.state is RunState.RUNNING:
            effects = [StopRun(run=run), *self._end_cancelled(run, now)]
            return effects + self._start_due(now)
        return []

    def engine_data(
        self, run: Run, status: int, content_type: str, data: bytes, now: float
    ) -> list:
        """Append a part of the engine's answer and publish it."""
        if run.state is not RunState.RUNNING:
            return []
        run.first_byte_at = run.first_byte_at or now
        run.status = status
        run.content_type = content_type
        run.answer += data
        return publish(run)

    def engine_end(self, run: Run, outcome: OutcomeRecord, now: float) -> list:
        """Handle the end of a run at the engine."""
        if run.state is not RunState.RUNNING:
            return []
        return self._end(run, outcome, now) + self._start_due(now)

    def engine_refused(self, run: Run, retry_after_ms: int, now: float) -> list:
        """Handle the engine's proof that it did not admit the run."""
        if run.state is not RunState.RUNNING:
            return []
        if run.resumable:
            # The run started before it was paused, so this does not prove that it
            # never started.
            lost = OutcomeRecord(kind=OutcomeKind.FAILED, reason='engine_lost')
            return self.engine_end(run, lost, now)
        self._running.pop(run.key, None)
        run.retry_after_ms = retry_after_ms
        effects = self._give_back(run, 'engine_refused', now)
        return effects + self._start_due(now)

    def tick(self, now: float) -> list:
        """Run periodic work: expiry, starts after a renewed lease, retention."""
        effects = []
        for run in list(self._queue):
            if run.deadline <= now and not run.started:
                effects += self._give_back(run, 'deadline', now)
        effects += self._start_due(now)
        for key, run in self._retention.forget(now):
            if self._runs.get(key) is run:
                del self._runs[key]
        return effects

    def _tombstone_unseen(self, msg: Attach, now: float) -> Run:
        """Create a tombstone, so that a dispatch still in transit never starts."""
        run = Run(
            key=msg.key,
            binding=msg.binding,
            work=Work(path=''),
            deadline=now,
            arrived_at=now,
            order=0,
        )
        self._runs[run.key] = run
        self._give_back(run, 'never_received', now)
        return run

    # Queue and window

    def _refusal(self, msg: Dispatch) -> str:
        if msg.incarnation != self.incarnation:
            return 'incarnation'
        if self.departing:
            return 'departing'
        return ''

    def _start_due(self, now: float) -> list:
        effects = []
        while self._queue and now < self.lease_until:
            run = self._queue.peek()
            if len(self._running) >= self._limits.window:
                victim = self._preemptible(run)
                if victim is None:
                    break
                effects += self._pause(victim)
            self._queue.pop()
            self._fair_tags.started(run.work.tier, run.fair_tag)
            run.state = RunState.RUNNING
            run.started = True
            run.started_at = now
            self._running[run.key] = run
            effects.append(StartRun(run=run))
        return effects

    def _preemptible(self, run: Run) -> Run | None:
        """Return the running run to pause for a promised one, or None."""
        if not run.work.promised:
            return None
        others = [
            r
            for r in self._running.values()
            if r.resumable and not r.work.promised and not r.work.once
        ]
        return max(others, key=lambda r: r.priority, default=None)

    def _pause(self, run: Run) -> list:
        del self._running[run.key]
        run.state = RunState.PAUSED
        self._queue.push(run)
        return [StopRun(run=run)]

    def _shed(self, now: float) -> list:
        if len(self._queue) <= self._limits.max_queued:
            return []
        worst = max(
            (r for r in self._queue if not r.started),
            key=lambda r: r.priority,
            default=None,
        )
        return self._give_back(worst, 'shed', now) if worst else []

    def _give_back(self, run: Run, reason: str, now: float) -> list:
        """Tombstone a run that never started, and notify its subscribers."""
        self._queue.remove(run)
        run.state = RunState.TOMBSTONE
        run.reason = reason
        run.ended_at = now
        self._retention.add_tombstone(run)
        reply = not_started(run)
        return [Send(to=name, call=0, body=reply) for name in run.subscribers]

    # Answers

    def _answer_repeated(self, sender: str, run: Run, binding: int, now: float) -> list:
        if run.binding > binding or run.state is RunState.TOMBSTONE:
            stale = attrs.evolve(not_started(run), binding=binding)
            return [Send(to=sender, call=0, body=stale)]
        run.subscribers.setdefault(sender, 0)
        return [accepted(sender, run), *publish_to(sender, run)]

    def _end_cancelled(self, run: Run, now: float) -> list:
        outcome = OutcomeRecord(kind=OutcomeKind.FAILED, reason='cancelled')
        return self._end(run, outcome, now)

    def _end(self, run: Run, outcome: OutcomeRecord, now: float) -> list:
        self._running.pop(run.key, None)
        run.state = RunState.ENDED
        run.ended_at = now
        run.outcome = attrs.evolve(outcome, length=len(run.answer))
        self._retention.add_ended(run)
        stored = run.outcome
        if run.work.once:
            stored = attrs.evolve(stored, answer=bytes(run.answer))
        item = FinishItem(key=run.key, binding=run.binding, outcome=stored)
        return [RecordOutcome(item=item), *publish(run)]
