"""Base class and decorator of all messages."""

from __future__ import annotations

from typing import Any

import attrs

INDEPENDENT = 'independent'


class Message:
    """Base class of all types that can be sent in an envelope."""

    __slots__ = ()


message = attrs.define(kw_only=True, frozen=True, slots=True)


def independent_items(**options: Any) -> Any:
    """Return a list field whose items have a meaning without each other.

    An item that can't be encoded is left out, and the rest is sent.
    """
    return attrs.field(metadata={INDEPENDENT: True}, **options)
