"""Allowance leases and crash marks that a control node exchanges with other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.allowance import Borrowed

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.allowance_lender import AllowanceLender
    from ..messages.allowance import Borrow, UseReport
    from ..messages.quarantine import CrashMarks
    from ..quarantine.crash_watch import CrashWatch

LENDER_REPORT_INTERVAL_S = 0.15
LEASE_UPDATE_INTERVAL_S = 0.15
# An entry without leases gets an empty update, which shows that its lender is
# reachable.
IDLE_LEASE_UPDATE_INTERVAL_S = 0.35
CRASH_RESEND_INTERVAL_S = 5.0


@attrs.define(kw_only=True)
class _LastLeases:
    """When an entry was last sent its leases, and whether it had any."""

    sent_at: float
    has_leases: bool


class Lending:
    """Handles use reports, sends leases to entries and forwards crash marks.

    `controls` returns the other control nodes.  Methods return effects.  `now`
    is a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        lender: AllowanceLender,
        crashes: CrashWatch,
        controls: Callable[[], tuple[str, ...]],
    ) -> None:
        self._lender = lender
        self._crashes = crashes
        self._controls = controls
        self._last_leases: dict[str, _LastLeases] = {}
        self._report_at = 0.0
        self._crash_resend_at = 0.0

    def tick(self, now: float) -> list[Send]:
        """Send the leases, lender reports and crash marks that are due."""
        return self.send_leases(now) + self.report(now) + self.resend_marks(now)

    def send_leases(self, now: float) -> list[Send]:
        """Send live entries the leases that are due."""
        effects: list[Send] = []
        live_entries = self._lender.live_entries(now)
        for entry in live_entries:
            if self._is_due(entry, now):
                effects.append(self._leases(entry, now))
        for entry in [e for e in self._last_leases if e not in live_entries]:
            del self._last_leases[entry]
        return effects

    def report(self, now: float) -> list[Send]:
        """Report to the other lenders if that is due."""
        if now < self._report_at:
            return []
        self._report_at = now + LENDER_REPORT_INTERVAL_S
        return [
            Send(to=name, call=0, body=self._lender.report(name, now))
            for name in self._controls()
        ]

    def resend_marks(self, now: float) -> list[Send]:
        """Resend crash marks to the other control nodes if that is due.

        They may have missed some.
        """
        if now < self._crash_resend_at:
            return []
        self._crash_resend_at = now + CRASH_RESEND_INTERVAL_S
        self._crashes.prune(now)
        if not self._crashes.has_marks:
            return []
        marks = self._crashes.marks(now)
        return [Send(to=c, call=0, body=marks) for c in self._controls()]

    def on_use_report(self, sender: str, body: UseReport, now: float) -> list[Send]:
        """Handle a use report from an entry or from another control node.

        A new session of an entry gets its leases and the crash marks at once.
        """
        if body.is_lender:
            self._lender.record_lender_report(sender, body, now)
            return []
        if not self._lender.record_entry_report(sender, body, now):
            return []
        effects = [self._leases(sender, now)]
        if self._crashes.has_marks:
            marks = self._crashes.marks(now)
            effects.append(Send(to=sender, call=0, body=marks))
        return effects

    def borrow(self, sender: str, call: int, body: Borrow, now: float) -> Send:
        """Reply to an entry that asks to borrow the cost of one request."""
        wait_s = self._lender.borrow(body.customer, body.cost, now)
        self._report_at = min(self._report_at, now)
        answer = Borrowed(is_lent=wait_s <= 0, retry_after_ms=int(wait_s * 1000))
        return Send(to=sender, call=call, body=answer)

    def on_crash_marks(self, sender: str, body: CrashMarks, now: float) -> list[Send]:
        """Merge crash marks and forward them if any is new.

        Marks from an entry go to the other entries and to all other control
        nodes, marks from a control node only to entries.
        """
        if not self._crashes.heard(body, now):
            return []
        others = [e for e in self._lender.live_entries(now) if e != sender]
        controls = self._controls()
        if sender not in controls:
            others += controls
        return [Send(to=name, call=0, body=body) for name in others]

    def link_lost(self, peer: str) -> None:
        """Handle a lost link to an entry or another control node."""
        self._lender.remove_node(peer)
        self._last_leases.pop(peer, None)

    def _is_due(self, entry: str, now: float) -> bool:
        last = self._last_leases.get(entry)
        if last is None:
            return True
        return now - last.sent_at >= (
            LEASE_UPDATE_INTERVAL_S if last.has_leases else IDLE_LEASE_UPDATE_INTERVAL_S
        )

    def _leases(self, entry: str, now: float) -> Send:
        body = self._lender.leases(entry, now)
        self._last_leases[entry] = _LastLeases(
            sent_at=now, has_leases=bool(body.leases)
        )
        return Send(to=entry, call=0, body=body)
