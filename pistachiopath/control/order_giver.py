"""Orders of a leadership, issued with its fencing number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fencing.reconciler import Reconciler

if TYPE_CHECKING:
    from ..configuration.configuration import ModelPlacement
    from ..fencing.reconciler import AddressedOrder
    from ..messages.membership import Heartbeat

RECONCILE_S = 1.0


class OrderGiver:
    """Holds the fencing number of a leadership and issues orders with it.

    The number is the index of a record that the leader proposed.  Orders are
    issued only after that record has been applied.  `now` is in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._fence = 0
        self._reconciler: Reconciler | None = None
        self._due_at = now

    @property
    def needs_fence(self) -> bool:
        """Return whether a fencing number has to be proposed."""
        return not self._fence

    def set_fence(self, fence: int) -> None:
        """Set the fencing number that was proposed."""
        self._fence = fence
        self._reconciler = Reconciler(fence=fence)

    def reset(self) -> None:
        """Discard the fencing number after the leadership has ended."""
        self._fence = 0
        self._reconciler = None

    def is_due(self, applied: int, now: float) -> bool:
        """Return whether orders are due and, if so, schedule the next ones."""
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
        """Return the orders that are due now."""
        return self._reconciler.orders(placements, reports, now)
