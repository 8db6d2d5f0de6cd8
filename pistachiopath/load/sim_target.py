"""A target over virtual time: the real gate before the engine model."""

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
class _Live:
    run: Run
    stream: Stream


class SimTarget:
    """Runs dispatched work on an engine model; `on_send` gets its messages."""

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
        self._learner = RateLearner()
        self.first_token_at: dict[bytes, float] = {}
        self.token_gaps: dict[bytes, list[float]] = {}
        self._last_token_at: dict[bytes, float] = {}
        self._clock = clock
        self._prompts = prompts
        self._chunks = chunks
        self._on_send = on_send
        self._live: dict[str, _Live] = {}
        self._stepping = False
        self._sequence = 0

    def receive(self, sender: str, msg: object) -> None:
        """Take a dispatch."""
        if self.alive:
            self._carry_out(self.gate.dispatch(sender, msg, self._clock.now))

    def depart(self) -> None:
        """Begin a planned departure."""
        self._carry_out(self.gate.depart(self._clock.now))

    def tick(self) -> None:
        """Let time pass at the gate."""
        if self.alive:
            self._carry_out(self.gate.tick(self._clock.now))

    def heartbeat(self) -> Heartbeat:
        """Return the announcement of now."""
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
        return self._learner.rates(running, self._clock.now)

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._on_send(self.name, effect)
                case StartRun(run=run):
                    self._start(run)
                case StopRun(run=run):
                    self._live.pop(run.key.hex(), None)
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
        self._live[name] = _Live(run=run, stream=stream)
        self._learner.run_started(run, self._chunks[run.key])
        self.engine.submit(stream)
        if not self._stepping:
            self._step()

    def _step(self) -> None:
        duration = self.engine.begin_step() if self.alive else None
        self._stepping = duration is not None
        if self._stepping:
            self._clock.after(duration, self._end_step)

    def _end_step(self) -> None:
        for progress in self.engine.end_step():
            live = self._live.get(progress.name)
            if live is None:
                continue
            run = live.run
            self._note_token(run.key)
            effects = self.gate.engine_data(run, 200, '', b'.', self._clock.now)
            if progress.ended:
                del self._live[progress.name]
                done = OutcomeRecord(kind=OutcomeKind.COMPLETED, status=200)
                effects += self.gate.engine_end(run, done, self._clock.now)
                self._learner.run_ended(run, len(run.answer))
            self._carry_out(effects)
        self._step()

    def _note_token(self, key: bytes) -> None:
        now = self._clock.now
        self.first_token_at.setdefault(key, now)
        last = self._last_token_at.get(key)
        if last is not None:
            self.token_gaps.setdefault(key, []).append(now - last)
        self._last_token_at[key] = now
