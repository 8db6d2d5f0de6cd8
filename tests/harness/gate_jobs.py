"""Requests of the simulated load in `gates_world`."""

from __future__ import annotations

import attrs

from pistachiopath.routing.placement import Candidate

OBJECTIVE_S = 1.0
TIMEOUT_S = 6.0
PROMPT_MS = 0.027
OUTPUT_MS = 1.0


@attrs.define(kw_only=True, frozen=True)
class JobKind:
    """Requests of one kind; `share` is their share of the arrivals.

    Prompt and output tokens are drawn from the given numbers.  Callers wait for
    the timeout, or for less by up to the share `deadline_spread`.
    """

    tier: int = 1
    share: float = 1.0
    prompts: tuple[int, ...] = (600, 1800, 2900)
    outputs: tuple[int, ...] = (30, 60, 280)
    objective_s: float = OBJECTIVE_S
    timeout_s: float = TIMEOUT_S
    pause_s: float = 0.0
    deadline_spread: float = 0.0

    @property
    def mean_ms(self):
        """Mean time for which an engine of usual speed is held."""
        prompt = sum(self.prompts) / len(self.prompts)
        output = sum(self.outputs) / len(self.outputs)
        return prompt * PROMPT_MS + output * OUTPUT_MS


USUAL_KINDS = (JobKind(),)


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request, the gate at which it waits, and the times of its progress.

    Its caller comes back once after a refusal; `refusals` counts these.
    """

    number: int
    kind: JobKind
    work: object
    prompt: int
    output: int
    arrived_at: float
    deadline_at: float
    refusals: int = 0
    candidate: Candidate | None = None
    placed_at: float = 0.0
    attempts: int = 0
    first_token_at: float | None = None
    engine_s: float = 0.0
    is_resumed: bool = False
    customer: str = 'c'

    @property
    def is_in_time(self):
        if self.first_token_at is None:
            return False
        return self.first_token_at - self.arrived_at <= self.kind.objective_s
