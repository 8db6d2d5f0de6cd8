"""Common base and decorator of all messages."""

from __future__ import annotations

import attrs


class Message:
    """Base of every type that may travel in an envelope."""

    __slots__ = ()


message = attrs.define(kw_only=True, frozen=True, slots=True)
