"""Settings of a control node of the document."""

from __future__ import annotations

import attrs

from ..rollouts.bounds import RolloutBounds


@attrs.define(kw_only=True, frozen=True)
class DocumentSettings:
    """Addresses, group size and limits.

    `node_address` and `seeds` are addresses for messages between nodes: that of
    this node and those of control nodes.  It listens at `listen_address` if that is
    another one.  This node takes part in forming a first group only if `forms` is
    true.  The group has
    2 * `tolerated_losses` + 1 voters; a `diskless` node is none of them.  A
    replica that announces nothing for `silent_after_s` seconds is reported as
    silent.  All entries together may exceed a customer's allowance by the
    fraction `allowance_overage` of it and by `allowance_slack_tokens`.  Rollouts are
    possible only with `rollouts`.
    """

    node_address: str
    seeds: tuple[str, ...]
    forms: bool
    tolerated_losses: int
    silent_after_s: float
    diskless: bool = False
    listen_address: str = ''
    allowance_overage: float = 0.0
    allowance_slack_tokens: float = 0.0
    rollouts: RolloutBounds | None = None
