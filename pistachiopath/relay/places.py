"""Places in front of engines, which an entry requests from their gates."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import gevent.event

from ..errors.relay import GateLost, PlaceDenied
from ..messages.grants import Ask, Denied, Granted, ReleasePlace
from .held_places import HeldPlaces

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.base import Message


RESEND_INTERVAL_S = 0.3
MOVE_CHECK_INTERVAL_S = 0.15
# A gate replies to every ask, and this leaves time for a repeated one.
FIRST_REPLY_TIMEOUT_S = 0.5
DUPLICATE_RETRY_AFTER_S = 0.5


@attrs.define(kw_only=True)
class Grant:
    """A granted place, which has to be released.

    `request` is the name under which the place was asked for, and `granted_at` is
    in seconds of a monotonic clock.
    """

    gate: str
    request: str
    granted_at: float


@attrs.define(kw_only=True)
class _Wait:
    """A request that waits for the reply of a gate.

    `signal` is set when the gate's `reply` or load arrives, or when the
    connection to the gate is lost.
    """

    gate: str
    asked_at: float
    asks: int = 1
    signal: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    reply: Granted | Denied | None = None
    has_load_report: bool = False
    is_lost: bool = False


class Places:
    """Requests places from gates, waits for the replies and releases places.

    `send` sends a message to a gate without a delivery guarantee; a repeated
    ask is idempotent.  `on_silent` is called with the address of a gate that
    has sent nothing within `FIRST_REPLY_TIMEOUT_S`.  The places in use are recorded
    in `held`.
    """

    def __init__(
        self,
        *,
        send: Callable[[str, int, Message], None],
        on_silent: Callable[[str], None] = lambda gate: None,
        held: HeldPlaces | None = None,
    ) -> None:
        self._held = held or HeldPlaces()
        self._send = send
        self._on_silent = on_silent
        self._waiting: dict[str, _Wait] = {}

    def acquire(
        self, gate: str, ask: Ask, should_move: Callable[[], bool]
    ) -> Grant | None:
        """Wait for a place; return None once `should_move` returns true.

        Raises `PlaceDenied` or `GateLost`.  A second ask of the same name, from a
        caller that uses its request id twice at once, is denied.
        """
        if ask.request in self._waiting:
            raise PlaceDenied(retry_after_s=DUPLICATE_RETRY_AFTER_S)
        wait = _Wait(gate=gate, asked_at=time.monotonic())
        self._waiting[ask.request] = wait
        granted = False
        try:
            self._send(gate, 0, ask)
            resend_at = wait.asked_at + RESEND_INTERVAL_S
            while not granted:
                granted = self._is_granted(wait)
                if granted:
                    break
                if should_move():
                    return None
                if time.monotonic() >= resend_at:
                    resend_at += RESEND_INTERVAL_S
                    wait.asks += 1
                    self._send(gate, 0, ask)
        finally:
            del self._waiting[ask.request]
            if not granted:
                self._withdraw(gate, ask.request)
        self._held.add(gate, ask.request)
        return Grant(gate=gate, request=ask.request, granted_at=time.monotonic())

    def release(
        self,
        grant: Grant,
        first_ms: int,
        *,
        ok: bool,
        is_unproven: bool = False,
        is_failure: bool = False,
    ) -> None:
        """Release a granted place.

        With `is_unproven` another lifetime may have written the events.  With
        `is_failure` the replica failed the run.
        """
        self._held.remove(grant.gate, grant.request)
        body = ReleasePlace(
            request=grant.request,
            first_ms=first_ms,
            ok=ok,
            is_unproven=is_unproven,
            is_failure=is_failure,
        )
        self._send(grant.gate, 0, body)

    def handle_reply(self, gate: str, body: Granted | Denied) -> None:
        """Pass a gate's reply to the waiting request.

        A grant that no request waits for is released.
        """
        wait = self._waiting.get(body.request)
        if wait is None or wait.gate != gate:
            if isinstance(body, Granted):
                self._withdraw(gate, body.request)
            return
        wait.reply = body
        wait.signal.set()

    def handle_load(self, gate: str) -> None:
        """Wake the requests that wait at a gate after a load report."""
        for wait in self._waiting.values():
            if wait.gate == gate:
                wait.has_load_report = True
                wait.signal.set()

    def handle_lost(self, gate: str) -> None:
        """Wake the requests that wait at a gate whose connection was lost."""
        for wait in self._waiting.values():
            if wait.gate == gate:
                wait.is_lost = True
                wait.signal.set()

    def _is_granted(self, wait: _Wait) -> bool:
        """Wait for a signal; return whether the place was granted.

        Raises `PlaceDenied` or `GateLost`.
        """
        wait.signal.wait(MOVE_CHECK_INTERVAL_S)
        wait.signal.clear()
        if isinstance(wait.reply, Granted):
            return True
        if isinstance(wait.reply, Denied):
            raise PlaceDenied(retry_after_s=wait.reply.retry_after_ms / 1000)
        waited_s = time.monotonic() - wait.asked_at
        # A process that was paused asks once more before it judges the gate.
        is_overdue = waited_s >= FIRST_REPLY_TIMEOUT_S and wait.asks > 1
        if is_overdue and not wait.has_load_report:
            self._on_silent(wait.gate)
            wait.is_lost = True
        if wait.is_lost:
            raise GateLost(gate=wait.gate)
        return False

    def _withdraw(self, gate: str, request: str) -> None:
        self._send(gate, 0, ReleasePlace(request=request, first_ms=0, ok=False))
