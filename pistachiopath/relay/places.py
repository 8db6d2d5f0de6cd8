"""Places before engines, as an entry asks for them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import gevent.event

from ..errors.relay import GateLost, PlaceDenied
from ..messages.grants import Ask, Denied, Granted, ReleasePlace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.base import Message


REASK_S = 0.3
LOOK_AROUND_S = 0.15
# A gate says something to everyone who asks, and then to everyone who asks again.
UNANSWERED_S = 0.5


@attrs.define(kw_only=True)
class Grant:
    """A place that is held; it has to be released."""

    gate: str
    request: str
    granted_at: float


@attrs.define(kw_only=True)
class _Wait:
    """A request that waits for the word of a gate.

    `signal` is set whenever there is something to look at: the gate's `word`,
    its load, or that it is lost.
    """

    gate: str
    asked_at: float
    signal: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    word: Granted | Denied | None = None
    is_heard: bool = False
    is_lost: bool = False


class Places:
    """Asks gates, waits for their word and gives places back.

    `send` sends a message to a gate without any guarantee; asking again is
    idempotent.  `on_silent` is told of a gate that answers nobody.
    """

    def __init__(
        self,
        *,
        send: Callable[[str, int, Message], None],
        on_silent: Callable[[str], None] = lambda gate: None,
    ) -> None:
        self._send = send
        self._on_silent = on_silent
        self._waiting: dict[str, _Wait] = {}

    def acquire(
        self, gate: str, ask: Ask, should_move: Callable[[], bool]
    ) -> Grant | None:
        """Wait for a place; None if there is a better one elsewhere now.

        Raises `PlaceDenied` or `GateLost`.
        """
        wait = _Wait(gate=gate, asked_at=time.monotonic())
        self._waiting[ask.request] = wait
        granted = False
        try:
            self._send(gate, 0, ask)
            reask_at = wait.asked_at + REASK_S
            while not granted:
                granted = self._is_granted(wait)
                if granted:
                    break
                if should_move():
                    return None
                if time.monotonic() >= reask_at:
                    reask_at += REASK_S
                    self._send(gate, 0, ask)
        finally:
            del self._waiting[ask.request]
            if not granted:
                self._release(gate, ask.request, 0, ok=False)
        return Grant(gate=gate, request=ask.request, granted_at=time.monotonic())

    def release(self, grant: Grant, first_ms: int, *, ok: bool) -> None:
        """Give a place back."""
        self._release(grant.gate, grant.request, first_ms, ok=ok)

    def heard(self, gate: str, body: Granted | Denied) -> None:
        """Take in the word of a gate."""
        wait = self._waiting.get(body.request)
        if wait is None or wait.gate != gate:
            if isinstance(body, Granted):
                self._release(gate, body.request, 0, ok=False)
            return
        wait.word = body
        wait.signal.set()

    def heard_load(self, gate: str) -> None:
        """Let those who wait at a gate look at its new load."""
        for wait in self._waiting.values():
            if wait.gate == gate:
                wait.is_heard = True
                wait.signal.set()

    def lost(self, gate: str) -> None:
        """Take note that a gate is out of reach."""
        for wait in self._waiting.values():
            if wait.gate == gate:
                wait.is_lost = True
                wait.signal.set()

    def _is_granted(self, wait: _Wait) -> bool:
        """Wait a while; tell whether the place was granted."""
        wait.signal.wait(LOOK_AROUND_S)
        wait.signal.clear()
        if isinstance(wait.word, Granted):
            return True
        if isinstance(wait.word, Denied):
            raise PlaceDenied(retry_after_s=wait.word.retry_after_ms / 1000)
        unanswered_s = time.monotonic() - wait.asked_at
        if not wait.is_heard and unanswered_s >= UNANSWERED_S:
            self._on_silent(wait.gate)
            wait.is_lost = True
        if wait.is_lost:
            raise GateLost(gate=wait.gate)
        return False

    def _release(self, gate: str, request: str, first_ms: int, *, ok: bool) -> None:
        body = ReleasePlace(request=request, first_ms=first_ms, ok=ok)
        self._send(gate, 0, body)
