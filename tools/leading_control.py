"""A control replica that leads a group of one."""

from __future__ import annotations

import random

from pistachiopath.control.core import ControlCore
from pistachiopath.replication.persisted import Persisted


def leading_control(**details):
    """Return a control replica that leads, and the time when it began to."""
    core = ControlCore(
        address='c0',
        addresses=('c0',),
        persisted=Persisted(member='m'),
        rng=random.Random(1),
        now=0.0,
        **details,
    )
    now = 0.0
    while not core.is_serving:
        now += 0.1
        core.tick(now, int(now * 1000))
        core.flush(now)
        core.synced(now)
    return core, now
