"""What a gate knows of the current capability of its engine."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from ..telemetry.metrics import Metrics
from .token_bound import fits, held_tokens, needed_tokens

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.grants import Ask

logger = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0


class EngineState:
    """Measures an engine for the services that the switch names.

    An ask with `is_final_urgent` carries the switch.  Without one, everything is
    admitted.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._log_at = -math.inf
        self._is_full = False

    def admits(self, ask: Ask, running: Iterable[Ask], now: float) -> bool:
        """Return whether the engine's memory has room for the next request."""
        if not ask.is_final_urgent:
            return True
        held = held_tokens(running)
        is_full = not fits(ask, held)
        if is_full and not self._is_full:
            self._record_full(ask, held, now)
        self._is_full = is_full
        return not is_full

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
