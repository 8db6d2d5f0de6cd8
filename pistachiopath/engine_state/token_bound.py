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


def held_tokens(running: Iterable[Ask], reported: int = 0) -> int:
    """Return the tokens that the granted runs hold at most.

    `reported` is what the engine says that it holds.  It is more if a gate that has
    started again does not know all runs.
    """
    return max(reported, sum(needed_tokens(ask) for ask in running))


def fits(ask: Ask, held: int) -> bool:
    """Return whether a request may run beside those that hold `held` tokens.

    One that is larger than the bound by itself runs alone.
    """
    if not ask.memory_tokens or not held:
        return True
    return held + needed_tokens(ask) <= MEMORY_SHARE * ask.memory_tokens
