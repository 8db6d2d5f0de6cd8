"""Client of a control node that sends puts and reads to the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.base import Message
from ..messages.document import PutDocument
from ..messages.replication import NotLeader

if TYPE_CHECKING:
    from collections.abc import Callable

RESEND_INTERVAL_S = 0.3
# Links of small VMs carry more than this.
MIN_BYTES_PER_S = 250_000


@attrs.define(kw_only=True)
class _PendingRequest:
    """A put or a read that has no final reply yet."""

    body: Message
    sent_to: str = ''
    resend_at: float = 0.0


class DocumentClient:
    """Resends requests to the presumed leader until it replies.

    The caller calls `forget` for a request that it no longer waits for.
    `leader` returns the address of the leader as this node knows it, or an empty
    string if there is none.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, leader: Callable[[], str]) -> None:
        self._leader = leader
        self._pending: dict[int, _PendingRequest] = {}
        self._last_call = 0

    def ask(self, body: Message) -> int:
        """Add a request; return the call number that its reply will carry."""
        self._last_call += 1
        self._pending[self._last_call] = _PendingRequest(body=body)
        return self._last_call

    def forget(self, call: int) -> None:
        """Stop resending a request."""
        self._pending.pop(call, None)

    def complete(self, call: int, body: Message, now: float) -> bool:
        """Remove the request that a reply completes; tell whether there is one.

        `NotLeader` completes no request; the request is resent soon.
        """
        request = self._pending.get(call)
        if request is None:
            return False
        if isinstance(body, NotLeader):
            request.resend_at = min(request.resend_at, now + RESEND_INTERVAL_S / 4)
            return False
        del self._pending[call]
        return True

    def link_lost(self, address: str) -> None:
        """Resend what was on its way to a node whose link is lost."""
        for request in self._pending.values():
            if request.sent_to == address:
                request.sent_to = ''

    def due(self, now: float) -> list[Send]:
        """Return the requests to send now, if there is a leader."""
        leader = self._leader()
        effects: list[Send] = []
        for call, request in self._pending.items():
            if not leader or (request.sent_to == leader and now < request.resend_at):
                continue
            request.sent_to = leader
            request.resend_at = now + _resend_interval_s(request.body)
            effects.append(Send(to=leader, call=call, body=request.body))
        return effects


def _resend_interval_s(body: Message) -> float:
    """Return when to resend a request, with the time that its content needs."""
    if not isinstance(body, PutDocument):
        return RESEND_INTERVAL_S
    return RESEND_INTERVAL_S + len(body.content) / MIN_BYTES_PER_S
