"""The effect that all decision cores return for their shell to carry out."""

from __future__ import annotations

import attrs

from .messages.base import Message


@attrs.define(kw_only=True, frozen=True)
class Send:
    """Send a message to a peer, given by address or name; delivery is best-effort."""

    to: str
    call: int
    body: Message
