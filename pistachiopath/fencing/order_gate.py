"""Fencing check for engines that may not check fencing numbers themselves."""

from __future__ import annotations

import attrs

from ..messages.fencing import Order, OrderReply


@attrs.define(kw_only=True, frozen=True)
class PassOrder:
    """Effect that forwards an order to the engine."""

    order: Order


class OrderGate:
    """Forwards an order unless a higher fencing number has been seen.

    An agent receives the highest fencing number when it registers, through a
    command of the replicated log.  It accepts no order before that, and none
    for another incarnation.
    """

    def __init__(self) -> None:
        self._incarnation = 0
        self._highest_fence = 0

    def registered(self, incarnation: int, fence: int) -> None:
        """Set the new incarnation and raise the highest fencing number."""
        self._incarnation = incarnation
        self._highest_fence = max(self._highest_fence, fence)

    def receive(self, order: Order) -> tuple[OrderReply, list[PassOrder]]:
        """Check an order; return the reply and the orders to forward."""
        is_current = order.incarnation == self._incarnation and self._incarnation
        if not is_current or order.fence < self._highest_fence:
            return OrderReply(accepted=False, fence=self._highest_fence), []
        self._highest_fence = order.fence
        reply = OrderReply(accepted=True, fence=self._highest_fence)
        return reply, [PassOrder(order=order)]
