"""Waits for a condition in tests with real sockets."""

from __future__ import annotations

import gevent


def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds; raise AssertionError if it does not in time."""
    with gevent.Timeout(timeout_s, AssertionError('condition does not hold in time')):
        while not condition():
            gevent.sleep(0.005)
