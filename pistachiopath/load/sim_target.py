"""Simulated target: the real gate in front of an engine model, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..agent.rates import RateLearner
from ..effects import Send
from ..engine.model import EngineModel, Stream
from ..errors.outcomes import OutcomeKind
from ..gate.effects import StartRun, StopRun
from ..gate.gate import Gate
from ..gate.run import Run
from ..messages.claims import OutcomeRecord
from ..messages.membership import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..engine.profile import EngineProfile
    from ..gate.limits import GateLimits
    from ..messages.membership import Rate
    from .clock import Clock


@attrs.define(kw_only=True)
class _RunningStream:
    run: Run
    stream: Stream


class SimTarget:
    """Runs dispatched work on an engine model; passes its messages to `on_send`."""

    def __init__(
        self,
        *,
        name: str,
        profile: EngineProfile,
        clock: Clock,
        limits: GateLimits,
        prompts: dict[bytes, tuple[int, ...]],
        chunks: dict[bytes, tuple[int, ...]],
        on_send: Callable[[str, Send], None],
    ) -> None:
        self.name = name
        self.engine = EngineModel(profile=profile)
        self.gate = Gate(limits=limits)
        self.gate.start_incarnation(1, 0.0)
        self.gate.lease_until = float('inf')
        self.alive = True
        self._rate_learner = RateLearner()
        self.first_token_at: dict[bytes, float] = {}
        self.token_gaps: dict[bytes, list[float]] = {}
        self._last_token_at: dict[bytes, float] = {}
        self._clock = clock
        self._prompts = prompts
        self._chunks = chunks
        self._on_send = on_send
        self._running_streams: dict[str, _RunningStream] = {}
        self._is_stepping = False
        self._sequence = 0

    def receive(self, sender: str, msg: object) -> None:
        """Handle a dispatch message."""
        if self.alive:
            self._apply_effects(self.gate.dispatch(sender, msg, self._clock.now))

    def depart(self) -> None:
        """Start a planned departure."""
        self._apply_effects(self.gate.depart(self._clock.now))

    def tick(self) -> None:
        """Run the periodic work of the gate."""
        if self.alive:
            self._apply_effects(self.gate.tick(self._clock.now))

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state."""
        self._sequence += 1
        return Heartbeat(
            target=self.name,
            incarnation=1,
            sequence=self._sequence,
            address=self.name,
            zone='dc0',
            models=('m',),
            services=(),
            departing=self.gate.departing,
            revision=1,
            load=self.gate.load(),
            rates=self._rates(),
        )

    def _rates(self) -> tuple[Rate, ...]:
        running = [(run, len(run.answer)) for run in self.gate.running()]
        return self._rate_learner.rates(running, self._clock.now)

    def _apply_effects(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._on_send(self.name, effect)
                case StartRun(run=run):
                    self._start(run)
                case StopRun(run=run):
                    self._running_streams.pop(run.key.hex(), None)
                    self.engine.cancel(run.key.hex())

    def _start(self, run: Run) -> None:
        name = run.key.hex()
        stream = Stream(
            name=name,
            blocks=self._prompts[run.key],
            prompt_tokens=run.work.prompt_tokens,
            output_tokens=run.work.output_tokens,
            produced=len(run.answer),
        )
        run.resumable = True
        self._running_streams[name] = _RunningStream(run=run, stream=stream)
        self._rate_learner.run_started(run, self._chunks[run.key])
        self.engine.submit(stream)
        if not self._is_stepping:
            self._step()

    def _step(self) -> None:
        duration = self.engine.begin_step() if self.alive else None
        self._is_stepping = duration is not None
        if self._is_stepping:
            self._clock.after(duration, self._end_step)

    def _end_step(self) -> None:
        for progress in self.engine.end_step():
            running_stream = self._running_streams.get(progress.name)
            if running_stream is None:
                continue
            run = running_stream.run
            self._record_token_time(run.key)
            effects = self.gate.engine_data(run, 200, '', b'.', self._clock.now)
            if progress.ended:
                del self._running_streams[progress.name]
                completed = OutcomeRecord(kind=OutcomeKind.COMPLETED, status=200)
                effects += self.gate.engine_end(run, completed, self._clock.now)
                self._rate_learner.run_ended(run, len(run.answer))
            self._apply_effects(effects)
        self._step()

    def _record_token_time(self, key: bytes) -> None:
        now = self._clock.now
        self.first_token_at.setdefault(key, now)
        previous_at = self._last_token_at.get(key)
        if previous_at is not None:
            self.token_gaps.setdefault(key, []).append(now - previous_at)
        self._last_token_at[key] = now
