"""Bound on the tokens of the requests that an engine holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.grants import Ask

# An engine crashes when its memory is exceeded.  The rest covers runs that outlive
# their places, such as those of an entry that was lost.
MEMORY_SHARE = 0.9


def needed_tokens(ask: Ask) -> int:
    """Return the tokens that a run holds at most: prompt and maximum output."""
    return ask.prompt_tokens + ask.output_tokens


def granted_tokens(running: Iterable[Ask]) -> int:
    """Return the tokens that the granted runs hold at most."""
    return sum(needed_tokens(ask) for ask in running)


def fits(ask: Ask, granted: int, reported: int = 0) -> bool:
    """Return whether a request may run beside those that were granted places.

    `granted` are the tokens of these.  `reported` is what the engine says that it
    holds, which is more if a gate that has started again does not know all runs.  A
    request that is larger than the bound by itself runs alone.
    """
    bound, needed = MEMORY_SHARE * ask.memory_tokens, needed_tokens(ask)
    held = max(granted, reported)
    if not ask.memory_tokens or (not held and needed > bound):
        return True
    return held + needed <= bound
