"""What a test has left running when it ends."""

from __future__ import annotations

import gc

import gevent

# Time in which greenlets that are killed must end, in seconds.
KILL_TIMEOUT_S = 5.0


def end_greenlets() -> None:
    """End all greenlets that were made since the last `gc.freeze`.

    A node that a test started and didn't stop would go on in the tests after it, and
    write log lines into theirs.  Frozen objects are not found: fixtures of a wider
    scope were made before, and go on.
    """
    gevent.killall(_running(), timeout=KILL_TIMEOUT_S)


def _running() -> list[gevent.Greenlet]:
    greenlets = [o for o in gc.get_objects() if isinstance(o, gevent.Greenlet)]
    return [g for g in greenlets if not g.dead]
