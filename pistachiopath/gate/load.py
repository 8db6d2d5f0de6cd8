"""The load that an agent announces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.membership import Load

if TYPE_CHECKING:
    from .run import Run


def load_of(*, queued: list[Run], running: list[Run], window: int) -> Load:
    """Return the load of the runs that wait, paused ones included, or run.

    `window` is the number of concurrent runs on the engine.
    """
    held = [*queued, *running]
    promised = [run for run in held if run.work.promised]
    return Load(
        running=len(running),
        queued=len(queued),
        window=window,
        promised=len(promised),
        prompt_tokens=_prompt_tokens(held),
        output_tokens=_output_tokens(held),
        promised_prompt_tokens=_prompt_tokens(promised),
        promised_output_tokens=_output_tokens(promised),
    )


def _prompt_tokens(runs: list[Run]) -> int:
    return sum(run.work.prompt_tokens for run in runs if not run.answer)


def _output_tokens(runs: list[Run]) -> int:
    return sum(run.work.output_tokens for run in runs)
