"""Places that an entry holds on engines, by the gates that granted them."""

from __future__ import annotations

from ..effects import Send
from ..messages.grants import WatchLoad

NAME_INTERVAL_S = 0.5
# A gate of an older build takes the names for a wish to be sent its load.
PERIOD_MS = 60_000


class HeldPlaces:
    """Names the places that are still held to a gate whose link was lost.

    A gate frees the places of an entry some time after their link was lost, as the
    entry may be gone.  Messages are sent without a delivery guarantee, so the places
    that were held then are named until they are released.

    >>> held = HeldPlaces()
    >>> held.add('gate', 'request')
    >>> held.handle_lost('gate')
    >>> [effect.body.held for effect in held.tick(0.0)]
    [('request',)]
    """

    def __init__(self) -> None:
        self._held: dict[str, set[str]] = {}
        self._doubted: dict[str, set[str]] = {}
        self._due_at = 0.0

    def add(self, gate: str, request: str) -> None:
        """Record that a gate has granted a place to a request."""
        self._held.setdefault(gate, set()).add(request)

    def remove(self, gate: str, request: str) -> None:
        """Record that a place is released."""
        for by_gate in (self._held, self._doubted):
            requests = by_gate.get(gate, set())
            requests.discard(request)
            if not requests:
                by_gate.pop(gate, None)

    def handle_lost(self, gate: str) -> None:
        """Name the places of a gate whose link was lost from now on."""
        if gate in self._held:
            self._doubted[gate] = set(self._held[gate])
            self._due_at = 0.0

    def tick(self, now: float) -> list[Send]:
        """Return the names that are due; `now` is a monotonic clock in seconds."""
        if now < self._due_at:
            return []
        self._due_at = now + NAME_INTERVAL_S
        return [
            Send(to=gate, call=0, body=_named(requests))
            for gate, requests in self._doubted.items()
        ]


def _named(requests: set[str]) -> WatchLoad:
    return WatchLoad(slots=0, period_ms=PERIOD_MS, held=tuple(sorted(requests)))
