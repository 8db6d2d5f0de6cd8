"""A kind of request in a workload."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Kind:
    """How often a kind of work is asked for and how large it is.

    Sizes are token counts, drawn log-uniformly between their bounds.  A kind
    with `documents` asks about one of that many shared documents, whose
    text begins each prompt.  Services have a method and no sizes.
    """

    work: str
    tier: str
    rate: float
    deadline_s: float
    promised: bool = True
    prompt_tokens: tuple[int, int] = (10, 20)
    output_tokens: tuple[int, int] = (10, 20)
    documents: int = 0
    service: str = ''
    path: str = ''
    method: str = 'POST'
    repeatable: bool = True
