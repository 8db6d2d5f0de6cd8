"""Settings of an entry."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address, Secret


@attrs.define(kw_only=True, frozen=True)
class EntrySettings:
    """Settings file of `pistachiopath-entry`.

    `name` is unique among the entries.  Callers connect to the address `http`.
    Requests in progress hold up to `request_memory_mb` together.
    At a stop, `drain_s` limits the wait for open calls, in seconds.
    """

    name: str
    zone: str
    http: Address
    controls: tuple[Address, ...]
    secret: Secret
    max_body_bytes: int = 4 * 1024 * 1024
    request_memory_mb: float = 16.0
    drain_s: float = 120.0
    log_level: str = 'info'
    trace_file: str = ''
