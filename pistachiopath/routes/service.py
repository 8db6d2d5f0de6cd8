"""A service: a group of replicas, with or without engines."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Service:
    """A group of replicas.

    Each replica of a service with an engine has an agent beside it.  `slots`
    and `memory_tokens`, the KV cache capacity, are 0 if not given.
    """

    name: str
    max_connections: int = 0
    has_engine: bool = False
    slots: int = 0
    memory_tokens: int = 0
