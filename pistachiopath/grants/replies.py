"""Replies of a gate to a request for a place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..messages.grants import Denied, Granted

if TYPE_CHECKING:
    from .place import Place

MIN_RETRY_AFTER_MS = 200


def granted(place: Place) -> Send:
    """Return the reply that grants a place."""
    return Send(to=place.entry, call=0, body=Granted(request=place.ask.request))


def denied(place: Place, retry_after_ms: int) -> Send:
    """Return the reply that denies a place, with the time after which to ask again."""
    body = Denied(
        request=place.ask.request,
        retry_after_ms=max(MIN_RETRY_AFTER_MS, retry_after_ms),
    )
    return Send(to=place.entry, call=0, body=body)
