"""What an engine reports of itself."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class RunProgress:
    """One run: its tokens in memory, and how many events it has written."""

    name: str
    tokens: int
    events: int


@attrs.define(kw_only=True, frozen=True)
class EngineReport:
    """Tokens in memory that can't be evicted, and the progress of the runs.

    What the engine did not report, or not in a usable form, is 0 or left out.
    """

    held_tokens: int = 0
    runs: tuple[RunProgress, ...] = ()
