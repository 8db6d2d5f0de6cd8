"""Estimates an engine's speed from completed runs."""

from __future__ import annotations

SMOOTHING = 0.1
DEFAULT_PROMPT_MS = 0.03
DEFAULT_OUTPUT_MS = 1.0
MIN_PROMPT_TOKENS = 200
MIN_OUTPUT_TOKENS = 8


class EngineSpeed:
    """Smoothed milliseconds per prompt token and per output token.

    Cached prompts are included: the estimate predicts the next run rather
    than the engine's peak speed.
    """

    def __init__(self) -> None:
        self.prompt_ms = DEFAULT_PROMPT_MS
        self.output_ms = DEFAULT_OUTPUT_MS

    def first_ms(self, prompt_tokens: int) -> float:
        """Return the expected time to the first event."""
        return prompt_tokens * self.prompt_ms

    def work_ms(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the expected time for which a request holds its place."""
        return self.first_ms(prompt_tokens) + output_tokens * self.output_ms

    def record_run(
        self, prompt_tokens: int, output_tokens: int, first_ms: float, held_ms: float
    ) -> None:
        """Update the estimates with a successful run.

        Short prompts and outputs are ignored.
        """
        if prompt_tokens >= MIN_PROMPT_TOKENS:
            sample = first_ms / prompt_tokens
            self.prompt_ms += SMOOTHING * (sample - self.prompt_ms)
        if output_tokens >= MIN_OUTPUT_TOKENS:
            sample = max(0.0, held_ms - first_ms) / output_tokens
            self.output_ms += SMOOTHING * (sample - self.output_ms)
