"""Bounds that the operator sets on rollouts."""

from __future__ import annotations

import attrs

# A resent order may wait at two nodes for up to 0.85 s before it reaches the leader.
REPEAT_MARGIN_S = 1.0


@attrs.define(kw_only=True, frozen=True)
class RolloutBounds:
    """How much a bad version may get, and the times that are promised.

    It gets at most the share `exposure_share` of the requests between the order and
    its deadline, and `exposure_slack` more.  It gets none `rollback_s` after its
    50th bad answer.  An order is resent for at most `ack_s`.
    """

    exposure_share: float
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    ack_s: float = 5.0

    @property
    def repeat_s(self) -> float:
        """Time after its acceptance in which an order that comes again is a repeat."""
        return self.ack_s + REPEAT_MARGIN_S

    @property
    def contact_s(self) -> float:
        """Age from which an entry no longer trusts the record of an active rollout."""
        return self.rollback_s / 2
