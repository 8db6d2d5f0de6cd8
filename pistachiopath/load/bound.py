"""Lower bound of the prefill work of a plan under any scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .plan import Arrival


def min_prefill_tokens(plan: Iterable[Arrival]) -> int:
    """Return a lower bound of the prompt tokens that engines must process.

    Each document must be processed at least once by some engine, and each
    prompt without a document in full.
    """
    document_tokens: dict[int, int] = {}
    other_tokens = 0
    for arrival in plan:
        if arrival.document >= 0:
            document_tokens[arrival.document] = arrival.prompt_tokens
        else:
            other_tokens += arrival.prompt_tokens
    return sum(document_tokens.values()) + other_tokens
