"""Settings of an agent."""

from __future__ import annotations

import attrs

from ..configuration.value_types import Address, OptionalAddress, Secret


@attrs.define(kw_only=True, frozen=True)
class AgentSettings:
    """Settings file of `pistachiopath-agent`.

    `advertise` is the address that entries connect to, if it differs from
    `address`.  With `takes_orders` the engine loads the models that the
    configuration wants, and the agent polls it for its list of models.
    `engine` is the address of the engine or plain service beside the agent.
    `window` limits the runs on the engine, and `max_queued` those that wait.
    """

    target: str
    zone: str
    address: Address
    controls: tuple[Address, ...]
    secret: Secret
    engine: Address
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    advertise: OptionalAddress = OptionalAddress('')
    takes_orders: bool = False
    window: int = 8
    max_queued: int = 256
    name: str = 'agent'
    log_level: str = 'info'
    trace_file: str = ''
    metrics: OptionalAddress = OptionalAddress('')
