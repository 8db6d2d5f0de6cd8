"""Settings of an entry that needs no claims at control nodes."""

from __future__ import annotations

import attrs

from ..admission.retry_budget import RetryBudgetLimits
from ..rollouts.bounds import RolloutBounds

# The network belongs to the platform, so links prove no identity.
LINK_SECRET = b'pistachiopath'


@attrs.define(kw_only=True, frozen=True)
class RelaySettings:
    """Addresses and bounds of an entry.

    Addresses have the form `host:port`.  `node_address` receives messages from
    other nodes, at `listen_address` if that is another one, and `agent_port` is the
    port of the agents for such messages.  `seeds` are the addresses of control
    nodes.  A stop takes at most `grace_s` seconds, a draining replica serves for
    `drain_s` seconds, and replicas announce themselves every `announce_s` seconds.
    Rollouts are followed only with `rollouts`.
    """

    name: str
    zone: str
    callers_address: str
    readiness_address: str
    node_address: str
    seeds: tuple[str, ...]
    agent_port: int
    retry_budget: RetryBudgetLimits
    grace_s: float
    drain_s: float = 2.0
    listen_address: str = ''
    announce_s: float = 1.2
    rollouts: RolloutBounds | None = None
