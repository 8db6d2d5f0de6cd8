"""Arrivals of a workload, generated from a seed."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from ..engine.tokens import BYTES_PER_TOKEN
from .kind import Kind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .workload import Workload

FILLER_WORDS = (
    'river',
    'gauge',
    'overflow',
    'page',
    'margin',
    'comma',
    'proof',
    'tide',
)


@attrs.define(kw_only=True, frozen=True)
class Arrival:
    """A request of the plan; `at` is in seconds from the start of the plan."""

    number: int
    at: float
    kind: Kind
    customer: str
    document: int
    prompt_tokens: int
    output_tokens: int

    def prompt(self) -> str:
        """Return the text of the prompt, which begins with its document, if any."""
        if self.document < 0:
            return _filler_text(f'request {self.number}', self.prompt_tokens)
        document_text = _filler_text(f'document {self.document}', self.prompt_tokens)
        return f'{document_text} question {self.number}'


def make_plan(
    workload: Workload,
    *,
    seed: int,
    duration_s: float,
    scale: float = 1.0,
    burst: float = 1.0,
) -> list[Arrival]:
    """Return the arrivals sorted by time.

    Rates are multiplied by `scale`, and by `burst` in the middle third.
    The plan is deterministic: equal arguments give equal plans.
    """
    rng = random.Random(seed)
    times = [
        (at, position, kind)
        for position, kind in enumerate(workload.kinds)
        for at in _arrival_times(rng, kind.rate * scale, duration_s, burst)
    ]
    times.sort(key=lambda item: item[:2])
    return [
        _make_arrival(rng, workload, number, at, kind)
        for number, (at, _, kind) in enumerate(times)
    ]


def _arrival_times(
    rng: random.Random, rate: float, duration_s: float, burst: float
) -> Iterator[float]:
    peak = rate * max(1.0, burst)
    at = rng.expovariate(peak)
    while at < duration_s:
        in_burst = duration_s / 3 <= at < 2 * duration_s / 3
        current = rate * burst if in_burst else rate
        if rng.random() < current / peak:
            yield at
        at += rng.expovariate(peak)


def _make_arrival(
    rng: random.Random, workload: Workload, number: int, at: float, kind: Kind
) -> Arrival:
    names = list(workload.customers)
    weights = list(workload.customers.values())
    document = rng.randrange(kind.documents) if kind.documents else -1
    # The size is seeded by the document, so that every prompt about it has the
    # same prefix.
    size_rng = random.Random(f'{workload.name} {document}') if document >= 0 else rng
    return Arrival(
        number=number,
        at=at,
        kind=kind,
        customer=rng.choices(names, weights)[0],
        document=document,
        prompt_tokens=_log_uniform(size_rng, kind.prompt_tokens),
        output_tokens=_log_uniform(rng, kind.output_tokens),
    )


def _log_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _filler_text(seed: str, tokens: int) -> str:
    rng = random.Random(seed)
    size = tokens * BYTES_PER_TOKEN
    words = [seed]
    length = len(seed)
    while length < size:
        word = rng.choice(FILLER_WORDS)
        words.append(word)
        length += len(word) + 1
    return ' '.join(words)[:size]
