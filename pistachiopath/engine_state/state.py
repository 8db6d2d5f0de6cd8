"""What a gate knows of the current capability of its engine."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..telemetry.metrics import Metrics
from .failure_share import FailureShare
from .token_bound import fits, held_tokens, needed_tokens

if TYPE_CHECKING:
    from ..grants.place_queue import PlaceQueue
    from ..messages.grants import Ask, GateLoad, ReleasePlace

logger = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0
# Entries without requests of the service need no measurements.
ACTIVE_S = 5.0


class EngineState:
    """Measures an engine for the services that the switch names.

    An ask with `is_final_urgent` carries the switch.  Without one, everything is
    admitted, and the load is reported without measurements.  `now` is a monotonic
    clock in seconds.
    """

    def __init__(self, *, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._log_at = -math.inf
        self._is_full = False
        self._asked_at = -math.inf
        self._failures = FailureShare()

    def admits(self, queue: PlaceQueue, key: tuple[str, str], now: float) -> bool:
        """Return whether the engine's memory has room for the next request."""
        ask = queue.waiting[key].ask
        if not ask.is_final_urgent:
            return True
        self._asked_at = now
        held = held_tokens(place.ask for place in queue.running.values())
        is_full = not fits(ask, held)
        if is_full and not self._is_full:
            self._record_full(ask, held, now)
        self._is_full = is_full
        return not is_full

    def is_active(self, now: float) -> bool:
        """Return whether the switch was seen lately."""
        return now - self._asked_at < ACTIVE_S

    def record_release(self, ask: Ask, body: ReleasePlace, now: float) -> None:
        """Record the end of a run; one that its caller abandoned says nothing."""
        if not ask.is_final_urgent or not (body.ok or body.is_failure):
            return
        self._failures.record(is_failure=body.is_failure, now=now)
        if body.is_failure:
            self._metrics.count('gate_failed_runs_total')

    def extend(self, load: GateLoad, now: float) -> GateLoad:
        """Return the load with the measurements, unchanged without the switch."""
        if not self.is_active(now):
            return load
        return attrs.evolve(
            load, failed_per_1000=round(1000 * self._failures.value(now))
        )

    def _record_full(self, ask: Ask, held: int, now: float) -> None:
        self._metrics.count('gate_memory_waits_total')
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        logger.info(
            'engine_memory_full',
            extra={
                'request': ask.request,
                'tokens': needed_tokens(ask),
                'held_tokens': held,
                'memory_tokens': ask.memory_tokens,
            },
        )
