"""Settings of an agent."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class AgentSettings:
    """Settings file of `pistachiopath-agent`.

    `advertise` is the address that entries connect to, where it is not
    `address`.  `engine` is the address of the engine or plain service beside it.
    """

    target: str
    zone: str
    address: str
    controls: tuple[str, ...]
    secret: str
    engine: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    advertise: str = ''
    window: int = 8
    max_queued: int = 256
    name: str = 'agent'
    log_level: str = 'info'
    trace_file: str = ''
    metrics: str = ''
