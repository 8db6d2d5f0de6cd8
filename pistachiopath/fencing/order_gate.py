"""Check of orders before an engine that may not check them itself."""

from __future__ import annotations

import attrs

from ..messages.fencing import Order, OrderReply


@attrs.define(kw_only=True, frozen=True)
class PassOrder:
    """Pass an order on to the engine."""

    order: Order


class OrderGate:
    """Passes an order on unless a higher fencing number was seen.

    An agent that has just started learns the highest number when it
    registers, by a command of the replicated log, and passes nothing on
    before that.
    """

    def __init__(self) -> None:
        self._incarnation = 0
        self._highest = 0

    def registered(self, incarnation: int, fence: int) -> None:
        """Take note of a new incarnation and the highest fencing number."""
        self._incarnation = incarnation
        self._highest = max(self._highest, fence)

    def receive(self, order: Order) -> tuple[OrderReply, list[PassOrder]]:
        """Check an order; return the reply and what to pass on."""
        current = order.incarnation == self._incarnation and self._incarnation
        if not current or order.fence < self._highest:
            return OrderReply(accepted=False, fence=self._highest), []
        self._highest = order.fence
        reply = OrderReply(accepted=True, fence=self._highest)
        return reply, [PassOrder(order=order)]
