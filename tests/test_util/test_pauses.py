from __future__ import annotations

import ctypes
import time

from tests.harness.pauses import PauseMeter


def test_a_pause_of_the_whole_process_counts_at_once():
    with PauseMeter() as pauses:
        time.sleep(0.05)
        # It keeps the interpreter's lock.
        ctypes.PyDLL(None).usleep(200_000)
        assert pauses.total_s >= 0.15


def test_a_wait_of_the_tests_own_thread_is_no_pause():
    with PauseMeter() as pauses:
        time.sleep(1.0)
        assert pauses.total_s < 0.9
