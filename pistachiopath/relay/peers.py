"""What entries tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.shared_allowance import SharedAllowance
    from ..messages.base import Message

REPORT_S = 0.05


class Peers:
    """Sends messages to all other entries; none of them is guaranteed to come.

    `entries` returns the addresses of all entries that are known.
    """

    def __init__(
        self,
        *,
        own_address: str,
        entries: Callable[[], tuple[str, ...]],
        send: Callable[[str, int, Message], None],
        allowance: SharedAllowance,
    ) -> None:
        self._own_address = own_address
        self._entries = entries
        self._send = send
        self._allowance = allowance
        self._report_at = 0.0

    def tick(self, now: float) -> None:
        """Report the use of allowances when it is time."""
        if now >= self._report_at:
            self._report_at = now + REPORT_S
            self.tell(self._allowance.report(now))

    def tell(self, body: Message) -> None:
        """Send a message to every other entry."""
        for entry in self._entries():
            if entry != self._own_address:
                self._send(entry, 0, body)
