"""Reports when the event loop of the process does not turn."""

from __future__ import annotations

import logging
import sys
import threading
import time
import traceback

import gevent

logger = logging.getLogger(__name__)

BEAT_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.5
# An event loop that has not turned for this long is reported.
STALL_S = 1.0
# A check that is later than this was paused itself, and with it the whole process.
LATE_CHECK_S = 0.25
MAX_FRAMES = 12


class HubWatch:
    """Notes each turn of the event loop, and checks that in a native thread.

    A greenlet that never waits keeps all others, and all timers, from running.  The
    report holds the newest frames of the thread of the event loop, which are those
    of that greenlet.  A process that was stopped or had no processor is not
    reported: its checks are late as well.
    """

    def __init__(self) -> None:
        self._thread_id = threading.get_ident()
        self._beat_at = time.monotonic()
        self._reported_beat_at = 0.0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the beats, and the thread that checks them."""
        gevent.spawn(self._beat)
        threading.Thread(target=self._check, name='hub-watch', daemon=True).start()

    def stop(self) -> None:
        """End the thread after its next check."""
        self._stopping.set()

    def _beat(self) -> None:
        while not self._stopping.is_set():
            self._beat_at = time.monotonic()
            gevent.sleep(BEAT_INTERVAL_S)

    def _check(self) -> None:
        while not self._stopping.is_set():
            due_at = time.monotonic() + CHECK_INTERVAL_S
            time.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - due_at < LATE_CHECK_S:
                self._report_stall(now)

    def _report_stall(self, now: float) -> None:
        """Log an event loop that stands still, once for each time it does."""
        beat_at = self._beat_at
        if now - beat_at < STALL_S or beat_at == self._reported_beat_at:
            return
        self._reported_beat_at = beat_at
        logger.error(
            'hub_stalled',
            extra={
                'stalled_ms': int((now - beat_at) * 1000),
                'frames': _frames(self._thread_id),
            },
        )


def _frames(thread_id: int) -> str:
    """Return the newest frames of a thread, the innermost last."""
    frame = sys._current_frames().get(thread_id)
    frames = traceback.extract_stack(frame)[-MAX_FRAMES:]
    return ' '.join(
        f'{f.filename.rsplit("/", 1)[-1]}:{f.lineno}:{f.name}' for f in frames
    )
