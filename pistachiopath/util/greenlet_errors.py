"""Log lines for greenlets that end with an unexpected exception."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from types import TracebackType

    from .loop_failures import LoopFailures


def report_greenlet_errors(failures: LoopFailures) -> None:
    """Log and count what ends any greenlet or callback of this thread's hub.

    gevent itself only prints it to the standard error.
    """

    def report(
        _context: object,
        cls: type[BaseException],
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if exc is None:
            exc = RuntimeError(cls.__name__)
        failures.record('greenlet', cls.__name__, exc.with_traceback(traceback))

    gevent.get_hub().print_exception = report
