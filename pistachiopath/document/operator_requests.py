"""Requests of operators to write and read the document."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..messages.document import DocumentReply, PutDocument, PutReply, ReadDocument
from ..messages.rollout_orders import OrderRollout, ReadRollout
from .packing import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..directory.announcer import Announcer
    from ..effects import Send
    from ..messages.base import Message
    from ..messages.rollout_orders import RolloutReply
    from .client import DocumentClient

SPREAD_POLL_INTERVAL_S = 0.01
# A committed put is acknowledged after this time even if an entry that follows
# does not hold it yet.
SPREAD_TIMEOUT_S = 0.3


class OperatorRequests:
    """Lets the greenlet of an operator's request wait for the leader's reply.

    `announcer` tells which version this node and its followers hold.
    """

    def __init__(
        self,
        *,
        client: DocumentClient,
        announcer: Announcer,
        send_all: Callable[[list[Send]], None],
    ) -> None:
        self._client = client
        self._announcer = announcer
        self._send_all = send_all
        self._results: dict[int, gevent.event.AsyncResult] = {}

    def put(self, version: int, content: bytes, timeout_s: float) -> int | None:
        """Commit a document; return the highest committed version.

        Returns None if there is no reply in time: the put may still be committed.
        Raises `InvalidConfiguration` if the document is too large.
        """
        deadline = time.monotonic() + timeout_s
        body = PutDocument(version=version, content=pack(content))
        reply = self._ask(body, timeout_s)
        if reply is None:
            return None
        self._await_spread(
            reply.version, min(deadline, time.monotonic() + SPREAD_TIMEOUT_S)
        )
        return reply.version

    def read(self, timeout_s: float) -> DocumentReply | None:
        """Return the newest document, or None if there is no reply in time."""
        reply = self._ask(ReadDocument(), timeout_s)
        if reply is None:
            return None
        return DocumentReply(version=reply.version, content=unpack(reply.content))

    def order_rollout(
        self, order: OrderRollout, timeout_s: float
    ) -> RolloutReply | None:
        """Order a rollout; return None if there is no reply in time.

        It may still be accepted then.
        """
        return self._ask(order, timeout_s)

    def read_rollout(self, service: str, timeout_s: float) -> RolloutReply | None:
        """Return a service's newest record, or None if there is no reply in time."""
        return self._ask(ReadRollout(service=service), timeout_s)

    def handle_reply(self, call: int, body: Message, now: float) -> None:
        """Pass a reply of the leader to the operator's request that it answers."""
        if not self._client.complete(call, body, now):
            return
        result = self._results.get(call)
        if result is not None:
            result.set(body)

    def handle_lost(self, peer: str) -> None:
        """Resend what was on its way to a node whose link is lost, when due."""
        self._client.link_lost(peer)

    def resend(self, now: float) -> None:
        """Resend the requests without a reply that are due."""
        self._send_all(self._client.due(now))

    def _ask(
        self, body: Message, timeout_s: float
    ) -> PutReply | DocumentReply | RolloutReply | None:
        call = self._client.ask(body)
        result = gevent.event.AsyncResult()
        self._results[call] = result
        self._send_all(self._client.due(time.monotonic()))
        try:
            result.wait(timeout_s)
            return result.get() if result.ready() else None
        finally:
            del self._results[call]
            self._client.forget(call)

    def _await_spread(self, version: int, deadline: float) -> None:
        """Wait until this node and the entries that follow it hold a version.

        The wait ends at `deadline` at the latest.
        """
        while time.monotonic() < deadline:
            is_held = self._announcer.version >= version
            if is_held and self._announcer.all_entries_hold(version, time.monotonic()):
                return
            gevent.sleep(SPREAD_POLL_INTERVAL_S)
