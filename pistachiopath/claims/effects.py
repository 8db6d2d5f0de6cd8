"""Effects that the flow of a request at an entry returns."""

from __future__ import annotations

import attrs

from ..errors.outcomes import Outcome
from ..messages.base import Message


@attrs.define(kw_only=True, frozen=True)
class Ask:
    """Send a command to the leader of the control replicas for this flow."""

    body: Message


@attrs.define(kw_only=True, frozen=True)
class Deliver:
    """Pass the next bytes of the answer to the caller."""

    status: int
    content_type: str
    data: bytes


@attrs.define(kw_only=True, frozen=True)
class Conclude:
    """Return the final outcome to the caller; the flow has ended."""

    outcome: Outcome
