"""Settings of a control node of the document."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class DocumentSettings:
    """Addresses and bounds.

    `seeds` are addresses of control nodes for messages between nodes; only
    where `forms` is true may this node help to form a first group.  The
    group has 2 `tolerated_losses` + 1 voters.  A replica that announces
    nothing for `silent_after_s` is reported as silent.  All entries together
    may let through `allowance_overage` more than a customer's allowance, as a
    part of it, and `allowance_slack_tokens`.
    """

    node_address: str
    seeds: tuple[str, ...]
    forms: bool
    tolerated_losses: int
    silent_after_s: float
    allowance_overage: float = 0.0
    allowance_slack_tokens: float = 0.0
