"""Parts of prompts, by which cached copies on engines are found."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class PromptPart:
    """One part of a prompt; parts with equal ids consist of equal tokens."""

    part_id: str
    tokens: int
