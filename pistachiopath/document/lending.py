"""A control node's part in allowances and in what entries tell each other."""

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

LENDERS_REPORT_S = 0.15
LEASES_S = 0.15
# Entries without leases hear this often that their lender is there.
IDLE_LEASES_S = 0.35
RETELL_CRASHES_S = 5.0


@attrs.define(kw_only=True)
class _Told:
    """When an entry was last told its leases, and whether it had any."""

    at: float
    has_leases: bool


class Lending:
    """Takes reports of entries, tells them their leases, and passes on crashes.

    `controls` returns the other control nodes.  Methods return effects; `now`
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
        self._told: dict[str, _Told] = {}
        self._report_at = 0.0
        self._retell_at = 0.0

    def tick(self, now: float) -> list[Send]:
        """Tell entries and other control nodes what is due."""
        effects: list[Send] = []
        live = self._lender.live_entries(now)
        for entry in live:
            if self._is_due(entry, now):
                effects.append(self._leases(entry, now))
        for entry in [e for e in self._told if e not in live]:
            del self._told[entry]
        if now >= self._report_at:
            self._report_at = now + LENDERS_REPORT_S
            effects += [
                Send(to=name, call=0, body=self._lender.report(name, now))
                for name in self._controls()
            ]
        if now >= self._retell_at:
            self._retell_at = now + RETELL_CRASHES_S
            effects += self._retell(now)
        return effects

    def reported(self, sender: str, body: UseReport, now: float) -> list[Send]:
        """Take in the report of an entry or of another control node."""
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
        """Answer an entry that asks for a single cost."""
        wait_s = self._lender.borrow(body.customer, body.cost, now)
        self._report_at = min(self._report_at, now)
        answer = Borrowed(is_lent=wait_s <= 0, retry_after_ms=int(wait_s * 1000))
        return Send(to=sender, call=call, body=answer)

    def crashed(self, sender: str, body: CrashMarks, now: float) -> list[Send]:
        """Take in crashes that a node knows of, and pass on what is new."""
        if not self._crashes.heard(body, now):
            return []
        others = [e for e in self._lender.live_entries(now) if e != sender]
        controls = self._controls()
        if sender not in controls:
            others += controls
        return [Send(to=name, call=0, body=body) for name in others]

    def lost(self, peer: str) -> None:
        """Take in that a node is out of reach."""
        self._lender.remove_node(peer)
        self._told.pop(peer, None)

    def _is_due(self, entry: str, now: float) -> bool:
        told = self._told.get(entry)
        if told is None:
            return True
        return now - told.at >= (LEASES_S if told.has_leases else IDLE_LEASES_S)

    def _leases(self, entry: str, now: float) -> Send:
        body = self._lender.leases(entry, now)
        self._told[entry] = _Told(at=now, has_leases=bool(body.leases))
        return Send(to=entry, call=0, body=body)

    def _retell(self, now: float) -> list[Send]:
        """Tell other control nodes of crashes again: they may have missed some."""
        self._crashes.prune(now)
        if not self._crashes.has_marks:
            return []
        marks = self._crashes.marks(now)
        return [Send(to=c, call=0, body=marks) for c in self._controls()]
