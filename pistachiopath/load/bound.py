"""What no scheduler can better, whatever it knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .plan import Arrival


def least_prefill(plan: Iterable[Arrival]) -> int:
    """Return a lower bound of the prompt tokens that engines must process.

    Every document is processed once on some engine, and every other prompt
    whole.
    """
    documents: dict[int, int] = {}
    rest = 0
    for arrival in plan:
        if arrival.document >= 0:
            documents[arrival.document] = arrival.prompt_tokens
        else:
            rest += arrival.prompt_tokens
    return sum(documents.values()) + rest
