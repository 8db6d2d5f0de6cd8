"""Walks over all claims while they go on changing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .claim import Claim


class ClaimCursor:
    """Gives each claim once, as it was when the cursor was made.

    The table calls `changing` before it changes, drops or makes a claim; one
    that was not given yet is encoded then, so that no copy of the table is
    needed.  To make a cursor costs a list of the keys.
    """

    def __init__(
        self, *, claims: dict[bytes, Claim], encode: Callable[[Claim], bytes]
    ) -> None:
        self._claims = claims
        self._encode = encode
        self._keys = list(claims)
        self._settled: set[bytes] = set()
        self._changed: list[bytes] = []

    @property
    def is_done(self) -> bool:
        """Tell whether every claim was given."""
        return not self._keys and not self._changed

    def changing(self, key: bytes) -> None:
        """Keep a claim as it is now, before it changes."""
        if key in self._settled:
            return
        self._settled.add(key)
        claim = self._claims.get(key)
        if claim is not None:
            self._changed.append(self._encode(claim))

    def take(self, most: int) -> list[bytes]:
        """Return the next claims, encoded: at most that many, and the changed."""
        for _ in range(min(most, len(self._keys))):
            self.changing(self._keys.pop())
        taken, self._changed = self._changed, []
        return taken
