"""Time bounds of the deployment that the soak plays."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class Bounds:
    """Bounds in seconds, as the platform states them.

    A program that was disturbed counts as calm again `contact_s` later.  A replica
    may get requests for `drain_s` after it said that it leaves.  A configuration is
    acknowledged after `ack_s` and in force `config_s` after that; a process that has
    obeyed it does not go back after `revert_s`.  A stopped program is killed after
    `grace_s`.  Service is back `recover_s` after the last fault.  A request that
    crosses the close of its connection may end unanswered within `crossing_s`.
    Replicas stop working on a request `gone_s` after its caller has gone.

    In any `retry_window_s` a service gets at most `retry_ratio` of its requests and
    `retry_slack` once more.  In any `allowance_window_s` replicas run at most what
    a customer's allowance grants, `allowance_overage` of that, and
    `allowance_slack_tokens`.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    config_s: float = 2.0
    ack_s: float = 4.0
    grace_s: float = 8.0
    recover_s: float = 12.0
    crossing_s: float = 0.2
    gone_s: float = 0.5
    revert_s: float = 0.25
    announce_s: float = 1.2
    retry_ratio: float = 0.2
    retry_slack: float = 12.0
    retry_window_s: float = 10.0
    allowance_window_s: float = 8.0
    allowance_overage: float = 0.1
    allowance_slack_tokens: float = 1600.0
