"""Decides which requests may hold how much memory, and which are refused."""

from __future__ import annotations

import attrs

# Requests above this size leave the rest of the budget to smaller ones.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.75


@attrs.define(kw_only=True, eq=False)
class HeldRequest:
    """What one request holds; `is_large` if it has said that it will be large.

    Only a request that is still being read can be refused, because it has not run.
    """

    is_large: bool = False
    held_bytes: int = 0
    received_bytes: int = 0
    is_reading: bool = True
    is_waiting: bool = False
    is_refused: bool = False


class RequestBudget:
    """Bounds what the requests of a process hold together.

    Large requests get `LARGE_SHARE` of the budget.  One that is larger than this by
    itself gets what it needs while all others together hold no more than the rest, so
    that a single request of any size is served when nothing else goes on.  Of the large
    requests that wait, the one that has sent the most is next, so that it can end:
    otherwise each could hold a part and wait for the others.

    >>> budget = RequestBudget(max_bytes=1000)
    >>> request = budget.begin()
    >>> budget.take(request, 800)
    True
    """

    def __init__(self, *, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._requests: dict[HeldRequest, None] = {}

    @property
    def requests(self) -> int:
        """Number of requests that hold or want memory."""
        return len(self._requests)

    def begin(self) -> HeldRequest:
        """Add a request that holds nothing yet."""
        request = HeldRequest()
        self._requests[request] = None
        return request

    def take(self, request: HeldRequest, size: int) -> bool:
        """Let a request hold `size` bytes in all; return False if there is no room."""
        growth = size - request.held_bytes
        if growth > 0 and not self._has_room(request, size, growth):
            request.is_waiting = True
            return False
        request.is_waiting = False
        request.held_bytes = size
        self.held_bytes += growth
        return True

    def end(self, request: HeldRequest) -> None:
        """Free what a request holds."""
        if request in self._requests:
            del self._requests[request]
            self.held_bytes -= request.held_bytes
            request.held_bytes = 0

    def refuse_one(self) -> HeldRequest | None:
        """Refuse the request that has sent the least, of several the newest one.

        Returns None if all are complete.
        """
        reading = [
            request
            for request in reversed(self._requests)
            if request.is_reading and not request.is_refused
        ]
        refused = min(reading, key=lambda request: request.received_bytes, default=None)
        if refused is not None:
            refused.is_refused = True
        return refused

    def _has_room(self, request: HeldRequest, size: int, growth: int) -> bool:
        large_bytes = LARGE_SHARE * self.max_bytes
        is_large = request.is_large = request.is_large or size > SMALL_BYTES
        if is_large and self._is_behind(request):
            return False
        limit = large_bytes if is_large else self.max_bytes
        if self.held_bytes + growth <= limit:
            return True
        others_bytes = self.held_bytes - request.held_bytes
        return others_bytes <= self.max_bytes - large_bytes

    def _is_behind(self, request: HeldRequest) -> bool:
        """Return whether a large request that has sent more waits."""
        for other in self._requests:
            if other is request:
                continue
            is_next = other.is_waiting and other.is_large and not other.is_refused
            if is_next and other.received_bytes > request.received_bytes:
                return True
        return False
