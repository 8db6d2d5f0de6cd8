"""Entries to which new connections go."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from . import wire
from .client import call

if TYPE_CHECKING:
    import random

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.9
MISSES_OUT = 2
MIN_SHARE = 0.5


class Rotation:
    """Asks each entry once a second whether it is ready, as a load balancer does.

    An entry leaves the rotation after two misses and is back after one success.  If
    fewer than half are in it, all are used.
    """

    def __init__(self, *, readiness: dict[str, str], rng: random.Random) -> None:
        self._readiness = readiness
        self._rng = rng
        self._misses = dict.fromkeys(readiness, MISSES_OUT)

    def run(self) -> None:
        """Probe all entries for ever."""
        while True:
            probes = [gevent.spawn(self._probe, name) for name in self._readiness]
            gevent.sleep(PROBE_INTERVAL_S)
            gevent.joinall(probes)

    def _probe(self, name: str) -> None:
        reply = call(
            self._readiness[name], 'GET', wire.READY_PATH, timeout_s=PROBE_TIMEOUT_S
        )
        self._misses[name] = 0 if reply.status == 200 else self._misses[name] + 1

    @property
    def ready(self) -> list[str]:
        """Entries in the rotation."""
        return [name for name, misses in self._misses.items() if misses < MISSES_OUT]

    def pick(self, excluded: str = '') -> str:
        """Return the entry for a new connection, another one than `excluded`."""
        names = self.ready
        if len(names) < MIN_SHARE * len(self._readiness):
            names = list(self._readiness)
        others = [name for name in names if name != excluded]
        return self._rng.choice(others or names)
