"""Unexpected exceptions of loops that go on after them."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

# The same error of the same part is logged once in this time.
LOG_INTERVAL_S = 10.0
MAX_ERROR_LENGTH = 200


@attrs.define(kw_only=True)
class _Logged:
    """The last log line of an error, and how often it has occurred since."""

    at: float
    unlogged: int = 0


class LoopFailures:
    """Logs and counts the exceptions that a loop did not expect.

    Each is counted in `loop_failures_total`.  The first one is logged with its
    traceback; while it repeats, one log line every `LOG_INTERVAL_S` says how many
    were left out since the last one.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._logged: dict[tuple[str, str, str], _Logged] = {}

    def record(self, loop: str, part: str, exc: BaseException) -> None:
        """Log and count an exception that a part of a loop raised."""
        self._metrics.count('loop_failures_total', loop=loop, part=part)
        now = time.monotonic()
        key = (loop, part, type(exc).__name__)
        last = self._logged.get(key)
        if last is not None and now - last.at < LOG_INTERVAL_S:
            last.unlogged += 1
            return
        self._logged[key] = _Logged(at=now)
        logger.error(
            'loop_failed',
            exc_info=exc,
            extra={
                'loop': loop,
                'part': part,
                'error': repr(exc)[:MAX_ERROR_LENGTH],
                'unlogged': last.unlogged if last is not None else 0,
            },
        )
