"""Encoding of messages to other processes, with what can't be encoded left out."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from ..errors.transport import FrameTooLarge, Unencodable
from ..messages.envelope import Envelope
from .codec import encode, without_unencodable
from .frames import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from ..messages.base import Message

logger = logging.getLogger(__name__)

# A state that can't be encoded fails again each time it is sent.
LOG_INTERVAL_S = 1.0


class OutboundEncoder:
    """Encodes messages; one that can't be encoded is logged, counted and dropped.

    If single items of a list can't be encoded, only those are left out.
    `unsent` counts messages and `left_out` items.  Each kind of failure is logged
    at most once in `LOG_INTERVAL_S`.
    """

    def __init__(self) -> None:
        self.unsent = 0
        self.left_out = 0
        self._logged_at: dict[tuple[str, str], float] = {}

    def encode(self, to: str, call: int, body: Message) -> bytes | None:
        """Return the bytes of a message to a peer, or None if it can't be sent."""
        try:
            return self._encode(to, call, body)
        except (Unencodable, FrameTooLarge) as exc:
            self.unsent += 1
            self._log('message_not_sent', to, body, exc)
            return None

    def _encode(self, to: str, call: int, body: Message) -> bytes:
        try:
            payload = encode(Envelope(call=call, body=body))
        except Unencodable:
            sendable, errors = without_unencodable(body)
            payload = encode(Envelope(call=call, body=sendable))
            self.left_out += len(errors)
            self._log('message_items_left_out', to, body, errors[0])
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameTooLarge(size=len(payload), limit=MAX_FRAME_BYTES)
        return payload

    def _log(
        self, event: str, to: str, body: Message, exc: Unencodable | FrameTooLarge
    ) -> None:
        name = type(body).__name__
        now = time.monotonic()
        if now - self._logged_at.get((event, name), -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[(event, name)] = now
        logger.error(
            event,
            extra={
                'peer': to,
                'type': name,
                'error': repr(exc),
                'unsent': self.unsent,
                'left_out': self.left_out,
            },
        )
