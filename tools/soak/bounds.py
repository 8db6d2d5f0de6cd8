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
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    config_s: float = 2.0
    ack_s: float = 4.0
    grace_s: float = 8.0
    recover_s: float = 12.0
    crossing_s: float = 0.2
    revert_s: float = 0.25
    announce_s: float = 1.2
