"""Iteration over a consistent snapshot of all claims while they change."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .claim import Claim


class ClaimCursor:
    """Returns each claim once, as it was when the cursor was created.

    The table calls `before_change` before it changes, removes or creates a
    claim.  A claim that was not returned yet is encoded then, so that no copy
    of the table is needed.  Creating a cursor copies only the list of keys.
    """

    def __init__(
        self, *, claims: dict[bytes, Claim], encode: Callable[[Claim], bytes]
    ) -> None:
        self._claims = claims
        self._encode = encode
        self._keys = list(claims)
        self._handled: set[bytes] = set()
        self._pending: list[bytes] = []

    @property
    def is_done(self) -> bool:
        """Return whether every claim has been returned."""
        return not self._keys and not self._pending

    def before_change(self, key: bytes) -> None:
        """Encode a claim in its present state if this was not done yet."""
        if key in self._handled:
            return
        self._handled.add(key)
        claim = self._claims.get(key)
        if claim is not None:
            self._pending.append(self._encode(claim))

    def take(self, limit: int) -> list[bytes]:
        """Return the encoded claims that changed, and up to `limit` others."""
        for _ in range(min(limit, len(self._keys))):
            self.before_change(self._keys.pop())
        taken, self._pending = self._pending, []
        return taken
