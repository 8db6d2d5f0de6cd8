"""Waits in tests with real sockets."""

from __future__ import annotations

import gevent

SLICE_S = 0.01
# A byte on its way passes through several greenlets, one a pass of the event loop.
PASSES = 5


def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds; raise AssertionError if it does not in time."""
    with gevent.Timeout(timeout_s, AssertionError('condition does not hold in time')):
        while not condition():
            gevent.sleep(0.005)


def let_pass(seconds):
    """Let other greenlets run for some time, also if the process is stopped in it.

    After a pause of the process a plain `gevent.sleep` returns at once, before what
    became ready in that time was handled.
    """
    for _ in range(max(1, round(seconds / SLICE_S))):
        gevent.sleep(SLICE_S)
        for _ in range(PASSES):
            gevent.idle()
