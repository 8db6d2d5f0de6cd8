"""Loop that runs its parts at an interval and goes on after their errors."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from .essential import spawn_essential

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .loop_failures import LoopFailures
    from .loop_part import LoopPart


class PeriodicLoop:
    """Runs parts one after the other, `interval_s` after the last step has ended.

    A part that raises an exception is logged and counted, the parts after it
    still run, and it runs again in the next step.  A part must therefore leave
    its state usable whenever it raises.  The process ends if the loop itself is
    ended by anything but `stop`, such as a `gevent.Timeout` that a part has left
    running.

    >>> loop = PeriodicLoop(
    ...     name='timers',
    ...     interval_s=0.05,
    ...     parts=[LoopPart(name='prune', run=prune, interval_s=1.0)],
    ...     failures=failures,
    ... )  # doctest: +SKIP
    """

    def __init__(
        self,
        *,
        name: str,
        interval_s: float,
        parts: Sequence[LoopPart],
        failures: LoopFailures,
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._parts = tuple(parts)
        self._failures = failures
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_running(self) -> bool:
        """Whether the loop was started and has not ended."""
        return self._greenlet is not None and not self._greenlet.dead

    def start(self) -> None:
        """Start the loop in a greenlet of its own."""
        self._greenlet = spawn_essential(self._name, self._run)

    def stop(self) -> None:
        """End the loop where it waits."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def run_step(self) -> None:
        """Run the parts that are due."""
        now = time.monotonic()
        for part in self._parts:
            try:
                part.run_if_due(now)
            except Exception as exc:
                self._failures.record(self._name, part.name, exc)

    def _run(self) -> None:
        while True:
            self.run_step()
            gevent.sleep(self._interval_s)
