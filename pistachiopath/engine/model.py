"""Timing model of an engine with continuous batching."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from .prefix_cache import PrefixCache

if TYPE_CHECKING:
    from .profile import EngineProfile


@attrs.define(kw_only=True)
class Stream:
    """A request in the engine; `produced` counts its output tokens so far."""

    name: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    remaining_prefill: int = 0
    prefilled: int = 0
    produced: int = 0


@attrs.define(kw_only=True, frozen=True)
class Progress:
    """Output tokens of a stream after a step, and whether it has ended."""

    name: str
    produced: int
    ended: bool


class EngineModel:
    """Runs a batch step by step over virtual time, without I/O or priorities.

    Streams join the batch in the order of their submission.  `begin_step`
    returns the duration of the next step in seconds, or None for an empty batch;
    `end_step` returns the progress of the streams that the step decoded.
    """

    def __init__(self, *, profile: EngineProfile) -> None:
        self.profile = profile
        self.cache = PrefixCache(capacity=profile.cache_blocks)
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self._waiting: deque[Stream] = deque()
        self._running: dict[str, Stream] = {}
        self._planned_prefill: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of submitted streams that wait to join the batch."""
        return len(self._waiting)

    def submit(self, stream: Stream) -> None:
        """Queue a stream for the batch."""
        self._waiting.append(stream)

    def cancel(self, name: str) -> None:
        """Remove a stream from the batch or the queue."""
        self._running.pop(name, None)
        self._waiting = deque(s for s in self._waiting if s.name != name)

    def begin_step(self) -> float | None:
        """Fill the batch and return the duration of the next step."""
        profile = self.profile
        while self._waiting and len(self._running) < profile.max_batch:
            self._admit(self._waiting.popleft())
        if not self._running:
            return None
        self._planned_prefill = self._plan_prefill()
        tokens = sum(self._planned_prefill.values())
        decoding = sum(1 for s in self._running.values() if not s.remaining_prefill)
        duration = tokens / profile.prefill_tokens_s
        if decoding:
            factor = 1 + profile.batch_cost * (decoding - 1)
            duration += factor / profile.decode_tokens_s
        return duration * profile.slowdown

    def end_step(self) -> list[Progress]:
        """Apply the step and return the progress of each decoded stream."""
        progress = []
        for stream in list(self._running.values()):
            if stream.remaining_prefill:
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
        cached_tokens = self.cache.match(stream.blocks) * self.profile.block_tokens
        # A resumed stream that has output is not prefilled again.
        if not stream.produced:
            stream.remaining_prefill = max(1, stream.prompt_tokens - cached_tokens)
            self.cached_tokens += stream.prompt_tokens - stream.remaining_prefill
        self._running[stream.name] = stream

    def _plan_prefill(self) -> dict[str, int]:
        budget = self.profile.prefill_chunk
        plan = {}
        for stream in self._running.values():
            tokens = min(budget, stream.remaining_prefill)
            if tokens:
                plan[stream.name] = tokens
                budget -= tokens
        return plan

    def _prefill(self, stream: Stream) -> None:
        tokens = self._planned_prefill.get(stream.name, 0)
        stream.remaining_prefill -= tokens
        stream.prefilled += tokens
        self.prefill_tokens += tokens
        if not stream.remaining_prefill:
            self.cache.store(stream.blocks)
