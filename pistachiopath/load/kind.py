"""A kind of request in a workload."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Kind:
    """Rate, deadline and sizes of one kind of request.

    The rate is in requests per second.  Sizes are token counts, drawn
    log-uniformly between their bounds.  If `documents` is not 0, each prompt
    begins with the text of one of that many shared documents.  Requests to
    services have a method and no sizes.
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
