"""Timing model of an engine that batches continuously."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from .prefix_cache import PrefixCache

if TYPE_CHECKING:
    from .profile import EngineProfile


@attrs.define(kw_only=True)
class Stream:
    """One request in the engine; `produced` counts output tokens."""

    name: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    prefill_left: int = 0
    prefilled: int = 0
    produced: int = 0


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """What one step did for a stream."""

    name: str
    produced: int
    ended: bool


class EngineModel:
    """Steps of a batch over virtual time, without I/O or priorities.

    Streams are admitted in the order they come.  `begin_step` returns the
    duration of the next step in seconds, or None when there is nothing to
    do; `end_step` returns the progress that it made.
    """

    def __init__(self, *, profile: EngineProfile) -> None:
        self.profile = profile
        self.cache = PrefixCache(capacity=profile.cache_blocks)
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self._waiting: deque[Stream] = deque()
        self._running: dict[str, Stream] = {}
        self._step_prefill: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Streams that were admitted and wait for the batch."""
        return len(self._waiting)

    def submit(self, stream: Stream) -> None:
        """Admit a stream."""
        self._waiting.append(stream)

    def cancel(self, name: str) -> None:
        """Drop a stream."""
        self._running.pop(name, None)
        self._waiting = deque(s for s in self._waiting if s.name != name)

    def begin_step(self) -> float | None:
        """Fill the batch and return the duration of the next step."""
        profile = self.profile
        while self._waiting and len(self._running) < profile.max_batch:
            self._admit(self._waiting.popleft())
        if not self._running:
            return None
        self._step_prefill = self._plan_prefill()
        tokens = sum(self._step_prefill.values())
        decoding = sum(1 for s in self._running.values() if not s.prefill_left)
        duration = tokens / profile.prefill_tokens_s
        if decoding:
            factor = 1 + profile.batch_cost * (decoding - 1)
            duration += factor / profile.decode_tokens_s
        return duration * profile.slowdown

    def end_step(self) -> list[Progress]:
        """Return what the step did."""
        progress = []
        for stream in list(self._running.values()):
            if stream.prefill_left:
                self._prefill(stream)
                continue
            stream.produced += 1
            ended = stream.produced >= stream.output_tokens
            if ended:
                del self._running[stream.name]
            progress.append(
                Progress(name=stream.name, produced=stream.produced, ended=ended)
            )
        return progress

    def _admit(self, stream: Stream) -> None:
        held = self.cache.match(stream.blocks) * self.profile.block_tokens
        # A resumed stream keeps its state; only a new one is prefilled.
        if not stream.produced:
            stream.prefill_left = max(1, stream.prompt_tokens - held)
            self.cached_tokens += stream.prompt_tokens - stream.prefill_left
        self._running[stream.name] = stream

    def _plan_prefill(self) -> dict[str, int]:
        budget = self.profile.prefill_chunk
        plan = {}
        for stream in self._running.values():
            part = min(budget, stream.prefill_left)
            if part:
                plan[stream.name] = part
                budget -= part
        return plan

    def _prefill(self, stream: Stream) -> None:
        part = self._step_prefill.get(stream.name, 0)
        stream.prefill_left -= part
        stream.prefilled += part
        self.prefill_tokens += part
        if not stream.prefill_left:
            self.cache.store(stream.blocks)
