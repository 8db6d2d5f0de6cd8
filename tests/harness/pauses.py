"""Measures how long the process of a test stood still."""

from __future__ import annotations

import threading
import time

STEP_S = 0.005
# A thread that wakes less late than this was not paused.
MIN_PAUSE_S = 0.03


class PauseMeter:
    """Adds up the pauses of this process while it is used as a context manager.

    A thread of its own notices them: garbage collections, a machine without a free
    processor, and the stalls of `tests.harness.stalls`.  Code that blocks the event
    loop is no pause, as other threads run beside it.
    """

    def __init__(self):
        self._past_s = 0.0
        self._woke_at = time.monotonic()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_exc):
        self._is_over.set()
        self._thread.join()

    @property
    def total_s(self):
        """Seconds for which the process stood still, the last pause included."""
        return self._past_s + self._late_s()

    def _late_s(self):
        late_s = time.monotonic() - self._woke_at - STEP_S
        return late_s if late_s >= MIN_PAUSE_S else 0.0

    def _run(self):
        while not self._is_over.is_set():
            time.sleep(STEP_S)
            self._past_s += self._late_s()
            self._woke_at = time.monotonic()
