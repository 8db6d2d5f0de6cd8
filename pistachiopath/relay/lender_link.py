"""Messages between an entry and the control node that lends it allowances."""

from __future__ import annotations

import logging
import math
import time
from typing import TYPE_CHECKING

import gevent.event

from ..messages.allowance import Borrow

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.leased_allowance import LeasedAllowance
    from ..directory.subscriber import Subscriber
    from ..messages.allowance import AllowanceLeases, Borrowed
    from ..messages.base import Message

logger = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.1
# Reports without changes show the lender that the entry is alive.
IDLE_REPORT_INTERVAL_S = 0.35
# A lender answers within a few ms; a caller should not wait for one that does not.
BORROW_TIMEOUT_S = 0.06
# Time to read what arrived while this process was paused.
PAUSE_CHECK_S = 0.01
# Longest time for which the lender is not asked again for a customer after it
# refused to lend.
EMPTY_BACKOFF_S = 0.05


class LenderLink:
    """Reports to one control node, the main one of those followed.

    Messages for all other entries also go to that control node, which forwards
    them.  So the number of an entry's messages does not grow with the number of
    entries.
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
        self._reported_at = 0.0
        self._last_call = 0
        self._pending_borrows: dict[int, gevent.event.AsyncResult] = {}
        self._empty_until: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Report the use of allowances when a report is due."""
        lender = self._subscriber.main(now)
        if lender != self._lender:
            self._lender = lender
            self._begin_session('chosen' if lender else 'none_answers')
        if not lender:
            return
        interval_s = (
            REPORT_INTERVAL_S
            if self._allowance.has_unreported_use
            else IDLE_REPORT_INTERVAL_S
        )
        if now - self._reported_at >= interval_s:
            self._reported_at = now
            self._send(lender, 0, self._allowance.report())

    def handle_leases(self, sender: str, body: AllowanceLeases, now: float) -> None:
        """Apply leases; those of a former lender are ignored."""
        if sender == self._lender:
            self._allowance.set_leases(body, now)

    def borrow(self, customer: str, cost: float) -> float:
        """Borrow a single cost from the lender, and wait for its answer.

        Return 0 if it was lent, or the seconds until it may be; infinity if
        there is no lender or it does not answer.
        """
        now = time.monotonic()
        empty_until = self._empty_until.get(customer, 0.0)
        if now < empty_until:
            return empty_until - now
        if not self._lender:
            return math.inf
        self._last_call += 1
        call = self._last_call
        result = self._pending_borrows[call] = gevent.event.AsyncResult()
        self._send(self._lender, call, Borrow(customer=customer, cost=int(cost)))
        try:
            answer = result.wait(BORROW_TIMEOUT_S) or result.wait(PAUSE_CHECK_S)
        finally:
            del self._pending_borrows[call]
        if answer is None:
            return math.inf
        if answer.is_lent:
            return 0.0
        wait_s = answer.retry_after_ms / 1000
        self._empty_until[customer] = now + min(wait_s, EMPTY_BACKOFF_S)
        return wait_s

    def handle_borrowed(self, call: int, body: Borrowed) -> None:
        """Pass the lender's answer to the waiting request."""
        result = self._pending_borrows.get(call)
        if result is not None:
            result.set(body)

    def handle_lost(self, peer: str) -> None:
        """Begin a new session if the link to the lender was lost."""
        if peer == self._lender:
            self._begin_session('link_lost')

    def broadcast(self, body: Message) -> bool:
        """Send a message to all other entries, by way of the lender.

        Returns whether there is one.
        """
        if not self._lender:
            return False
        self._send(self._lender, 0, body)
        return True

    def _begin_session(self, reason: str) -> None:
        """Begin a session, in which the lender counts reported use from zero."""
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
        self._reported_at = 0.0
