"""Base class and decorator of all messages."""

from __future__ import annotations

import attrs


class Message:
    """Base class of all types that can be sent in an envelope."""

    __slots__ = ()


message = attrs.define(kw_only=True, frozen=True, slots=True)
