"""Orders of a leadership, under the fencing number that it took."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fencing.reconciler import Reconciler

if TYPE_CHECKING:
    from ..configuration.configuration import ModelPlacement
    from ..fencing.reconciler import AddressedOrder
    from ..messages.membership import Heartbeat

RECONCILE_S = 1.0


class OrderGiver:
    """Takes one fencing number for a leadership and gives orders under it.

    The number is the index of a record of the leader's own; it counts once
    that record is applied.  `now` is in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._fence = 0
        self._reconciler: Reconciler | None = None
        self._due_at = now

    @property
    def needs_fence(self) -> bool:
        """Tell whether a fencing number has to be asked for."""
        return not self._fence

    def took(self, fence: int) -> None:
        """Take note of the number that was proposed."""
        self._fence = fence
        self._reconciler = Reconciler(fence=fence)

    def reset(self) -> None:
        """Forget the number: the leadership is over."""
        self._fence = 0
        self._reconciler = None

    def is_due(self, applied: int, now: float) -> bool:
        """Tell whether orders may be given, and tick the interval off."""
        if self.needs_fence or applied < self._fence or now < self._due_at:
            return False
        self._due_at = now + RECONCILE_S
        return True

    def orders(
        self,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
        now: float,
    ) -> list[AddressedOrder]:
        """Return the orders that are due."""
        return self._reconciler.orders(placements, reports, now)
