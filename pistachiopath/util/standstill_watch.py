"""Reports that the process stood still."""

from __future__ import annotations

import logging
import time

import gevent

logger = logging.getLogger(__name__)

TURN_INTERVAL_S = 0.1
# A turn that is later than this is reported.
STANDSTILL_S = 0.25


class StandstillWatch:
    """Logs each span in which the event loop did not turn, as soon as it has ended.

    The process was stopped, its VM was paused, it had no processor, or a greenlet
    never waited.  `cpu_ms` tells them apart: it is the processor time that the process
    used in the span, and is as long as the span only if a greenlet never waited.
    Time in which the VM was suspended counts too, though it is missing from the
    monotonic clock.
    """

    def __init__(self) -> None:
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the turns."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the turns."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            began_at = elapsed_s()
            began_cpu_s = time.process_time()
            gevent.sleep(TURN_INTERVAL_S)
            stood_s = elapsed_s() - began_at - TURN_INTERVAL_S
            if stood_s >= STANDSTILL_S:
                _report(stood_s, time.process_time() - began_cpu_s)


def elapsed_s() -> float:
    """Return seconds of a clock that also runs while the VM is suspended."""
    clock = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def _report(stood_s: float, cpu_s: float) -> None:
    logger.warning(
        'standstill',
        extra={'stood_ms': int(stood_s * 1000), 'cpu_ms': int(cpu_s * 1000)},
    )
