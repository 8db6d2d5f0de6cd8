"""What an entry tells the control node that lends it allowances."""

from __future__ import annotations

import logging
import math
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..messages.allowance import Borrow

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.leased_allowance import LeasedAllowance
    from ..directory.subscriber import Subscriber
    from ..messages.allowance import AllowanceLeases, Borrowed
    from ..messages.base import Message

logger = logging.getLogger(__name__)

REPORT_S = 0.1
# With nothing to report the lender hears this often that the entry is there.
IDLE_REPORT_S = 0.35
# A lender answers within a few ms; a caller should not wait for one that does not.
BORROW_WAIT_S = 0.06
# For so long a lender that has nothing left is not asked again.
EMPTY_S = 0.05


class LenderLink:
    """Reports to one control node, the main one of those followed.

    What other entries have to know goes the same way: the control node passes
    it on.  So an entry's messages do not grow with the number of entries.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        allowance: LeasedAllowance,
        send: Callable[[str, int, Message], None],
        session: int,
    ) -> None:
        self._subscriber = subscriber
        self._allowance = allowance
        self._send = send
        self._session = session
        self._lender = ''
        self._told_at = 0.0
        self._last_call = 0
        self._borrowing: dict[int, gevent.event.AsyncResult] = {}
        self._empty_until: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Report the use of allowances when it is time."""
        lender = self._subscriber.main(now)
        if lender != self._lender:
            self._lender = lender
            self._begin('chosen' if lender else 'none_answers')
        if not lender:
            return
        pause_s = REPORT_S if self._allowance.has_unreported_use else IDLE_REPORT_S
        if now - self._told_at >= pause_s:
            self._told_at = now
            self._send(lender, 0, self._allowance.report())

    def heard(self, sender: str, body: AllowanceLeases, now: float) -> None:
        """Take in leases; those of a lender that was left are void."""
        if sender == self._lender:
            self._allowance.set_leases(body, now)

    def borrow(self, customer: str, cost: float) -> float:
        """Ask the lender for a single cost, and wait for its answer.

        Return 0, or the seconds until there may be enough; infinity where the
        lender does not answer.
        """
        now = time.monotonic()
        empty_until = self._empty_until.get(customer, 0.0)
        if now < empty_until:
            return empty_until - now
        if not self._lender:
            return math.inf
        self._last_call += 1
        call = self._last_call
        result = self._borrowing[call] = gevent.event.AsyncResult()
        self._send(self._lender, call, Borrow(customer=customer, cost=int(cost)))
        try:
            answer = result.get(timeout=BORROW_WAIT_S)
        except gevent.Timeout:
            return math.inf
        finally:
            del self._borrowing[call]
        if answer.is_lent:
            return 0.0
        wait_s = answer.retry_after_ms / 1000
        self._empty_until[customer] = now + min(wait_s, EMPTY_S)
        return wait_s

    def borrowed(self, call: int, body: Borrowed) -> None:
        """Take in the lender's answer."""
        result = self._borrowing.get(call)
        if result is not None:
            result.set(body)

    def lost(self, peer: str) -> None:
        """Take in that a node is out of reach."""
        if peer == self._lender:
            self._begin('link_lost')

    def tell(self, body: Message) -> None:
        """Let all other entries know something."""
        if self._lender:
            self._send(self._lender, 0, body)

    def _begin(self, reason: str) -> None:
        """Begin a session: the lender counts what it is told from zero."""
        self._session += 1
        logger.info(
            'lender',
            extra={
                'lender': self._lender,
                'session': self._session,
                'reason': reason,
            },
        )
        self._allowance.begin_session(self._session)
        self._told_at = 0.0
