"""Settings of an entry whose claims are its own."""

from __future__ import annotations

import attrs

from ..admission.retry_budget import RetryBudgetLimits

LINK_SECRET = b'pistachiopath'


@attrs.define(kw_only=True, frozen=True)
class RelaySettings:
    """Addresses and bounds; times in seconds.

    `node_address` is for messages between nodes, `agent_port` the port of the
    agents for them.  A stop lasts at most `grace_s`.
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
