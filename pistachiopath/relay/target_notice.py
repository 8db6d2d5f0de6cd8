"""What a replica says of itself in the head of an answer."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class TargetNotice:
    """State of a replica, beside its answer.

    `is_leaving` means that it takes no new requests.  For `backoff_s` seconds it
    asks for none from this entry.  `unreadable` is a stated time that can't be
    read, and counts as no backoff.
    """

    is_leaving: bool = False
    backoff_s: float = 0.0
    unreadable: str = ''

    @property
    def is_empty(self) -> bool:
        """Whether the replica said nothing."""
        return self == TargetNotice()
