"""Lets greenlets handle what arrived while this process was paused."""

from __future__ import annotations

import gevent

# What arrives passes through several greenlets, one in each pass of the event loop.
# Another pause takes the time of one pass only.
PASSES = 5
PASS_S = 0.004


def handle_arrivals() -> None:
    """Let the other greenlets handle what has arrived, before something is given up.

    After a pause of the process a timeout ends before the bytes are read that arrived
    in time.

    Example::

        gevent.sleep(wait_s)
        handle_arrivals()
        target = find_target()
    """
    for _ in range(PASSES):
        gevent.sleep(PASS_S)
