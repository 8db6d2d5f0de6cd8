"""Memory for requests, which is taken before their bytes are read."""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import TYPE_CHECKING

import gevent.event

from ..errors.exchange import BadHttp
from ..request_memory.budget import SMALL_BYTES, RequestBudget
from ..util.heap import trim_heap
from ..util.later import call_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..request_memory.budget import HeldRequest
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

DEFAULT_BYTES = 16 * 1024 * 1024
# A request that finds no memory is not read for this time; after it, and again after
# each further step, one request is refused.
WAIT_S = 1.0
STEP_S = 0.25
LOG_INTERVAL_S = 1.0
# The heap is trimmed some time after so much was held, when little is held any more.
TRIM_BYTES = 4 * 1024 * 1024
TRIM_DELAY_S = 1.0
STATUS_UNAVAILABLE = 503
NO_MEMORY = 'no_memory'


class HeldMemory:
    """The memory of one request.

    `on_refused` is called when the request is refused while its bytes are awaited.
    """

    def __init__(
        self, *, memory: RequestMemory, on_refused: Callable[[], None]
    ) -> None:
        self._memory = memory
        self._request = memory.budget.begin()
        memory.on_refused[self._request] = on_refused

    @property
    def is_contended(self) -> bool:
        """Whether any request waits for memory."""
        return self._memory.waiting > 0

    def reserve(self, received: int, more: int, stated: int | None) -> int:
        """Hold up to `more` bytes beside those received; return how many.

        Waits while there is no room for them.

        Beyond the first `SMALL_BYTES` a request whose length is stated gets the whole
        at once, so that it does not wait again.  Raises `BadHttp` if it is refused.
        """
        request = self._request
        request.received_bytes = received
        if received < SMALL_BYTES:
            more = min(more, SMALL_BYTES - received)
        size = received + more
        if stated is not None and stated > SMALL_BYTES:
            request.is_large = True
            if size > SMALL_BYTES:
                size = stated
        if size > request.held_bytes or request.is_refused:
            self._memory.take(request, size)
        return more

    def check(self) -> None:
        """Raise `BadHttp` if the request has been refused."""
        if self._request.is_refused:
            raise BadHttp(status=STATUS_UNAVAILABLE, reason=NO_MEMORY)

    def complete(self, size: int) -> None:
        """Hold the `size` bytes of a complete request, which is refused no more."""
        self._request.is_reading = False
        self._memory.shrink(self._request, size)

    def release(self) -> None:
        """Free the memory; further calls do nothing."""
        self._memory.end(self._request)


class RequestMemory:
    """Bounds what the requests of this process hold, by waits and refusals."""

    def __init__(self, *, max_bytes: float = DEFAULT_BYTES) -> None:
        self.budget = RequestBudget(max_bytes=max_bytes)
        self.on_refused: dict[HeldRequest, Callable[[], None]] = {}
        self.waiting = 0
        self._counts: Counter = Counter()
        self._freed = gevent.event.Event()
        self._logged_at = 0.0
        self._most_held = 0

    def set_budget(self, max_bytes: float) -> None:
        """Set how much the requests may hold together."""
        self.budget.max_bytes = max_bytes
        logger.info('request_memory', extra={'budget': int(max_bytes)})

    def hold(self, on_refused: Callable[[], None]) -> HeldMemory:
        """Return the memory of a new request, which must be released."""
        return HeldMemory(memory=self, on_refused=on_refused)

    def take(self, request: HeldRequest, size: int) -> None:
        """Let a request hold `size` bytes; wait for room; raises `BadHttp`."""
        if not request.is_refused and self.budget.take(request, size):
            return
        self.waiting += 1
        self._counts['waits'] += 1
        self._log_wait(size)
        refuse_at = time.monotonic() + WAIT_S
        try:
            while not request.is_refused:
                self._freed.clear()
                self._freed.wait(max(0.0, refuse_at - time.monotonic()))
                if not request.is_refused and self.budget.take(request, size):
                    return
                if time.monotonic() >= refuse_at:
                    self._refuse_one()
                    refuse_at = time.monotonic() + STEP_S
        finally:
            self.waiting -= 1
        raise BadHttp(status=STATUS_UNAVAILABLE, reason=NO_MEMORY)

    def shrink(self, request: HeldRequest, size: int) -> None:
        """Let a request hold no more than `size` bytes."""
        self.budget.take(request, min(size, request.held_bytes))
        self._freed.set()

    def end(self, request: HeldRequest) -> None:
        """Free what a request holds."""
        self._most_held = max(self._most_held, self.budget.held_bytes)
        self.budget.end(request)
        self.on_refused.pop(request, None)
        self._freed.set()
        if self._most_held > TRIM_BYTES and self.budget.held_bytes < TRIM_BYTES / 4:
            self._most_held = 0
            call_later(TRIM_DELAY_S, trim_heap)

    def report(self, metrics: Metrics) -> None:
        """Set the metrics of the memory and of what it has refused."""
        metrics.set('request_memory_bytes', self.budget.held_bytes)
        metrics.set('request_memory_budget_bytes', int(self.budget.max_bytes))
        metrics.set('request_memory_waiting', self.waiting)
        metrics.set('request_memory_waits_total', self._counts['waits'])
        metrics.set('request_memory_refused_total', self._counts['refused'])

    def _refuse_one(self) -> None:
        refused = self.budget.refuse_one()
        if refused is None:
            return
        self._counts['refused'] += 1
        on_refused = self.on_refused.get(refused)
        if on_refused is not None:
            on_refused()
        self._freed.set()

    def _log_wait(self, wanted: int) -> None:
        """Log that a request waits, at most once in `LOG_INTERVAL_S`."""
        now = time.monotonic()
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.warning(
            'request_waits_for_memory',
            extra={
                'wanted': wanted,
                'held': self.budget.held_bytes,
                'budget': int(self.budget.max_bytes),
                'requests': self.budget.requests,
                'refused': self._counts['refused'],
            },
        )


# All servers of a process share one budget.
process_memory = RequestMemory()
