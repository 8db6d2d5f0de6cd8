"""A release that begins while entries stand still."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import gevent

from .fault_kind import FaultKind

if TYPE_CHECKING:
    import contextlib
    import random
    from collections.abc import Callable

    from .deployment import Deployment
    from .fault import Fault
    from .replica import Replica

READERS = 16
# Their streams have begun after this time.
BEGUN_S = 0.7
PAUSE_S = (0.4, 2.5)
TWO_ENTRIES_SHARE = 0.5
TWO_REPLICAS_SHARE = 0.8
SAME_ID_SHARE = 0.8
LATE_SHARE = 0.5
MAX_LATE_S = 3.0
DOWN_S = (0.1, 0.6)
# Between the restarts of the replicas that follow.
FOLLOW_S = (0.3, 1.0)


class PausedRelease:
    """Pauses entries, and restarts replicas with the next version meanwhile.

    Readers of long streams start first, whose streams are open over the pause.

    One or two replicas crash as the pause begins.  They come back mostly under their
    ids, and announce themselves at once or late.  The others follow one by one.
    `recorded` keeps the record of a fault for as long as its block runs.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        rng: random.Random,
        recorded: Callable[[FaultKind, str], contextlib.AbstractContextManager],
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._recorded = recorded

    def carry_out(self, fault: Fault) -> None:
        """Release the next version; return after the time of the fault at least."""
        rest = gevent.spawn(gevent.sleep, fault.for_s)
        self._deployment.start_readers(READERS)
        gevent.sleep(BEGUN_S)
        self._release(fault.target)
        rest.join()

    def _release(self, service: str) -> None:
        replicas = self._deployment.replicas_of(service)
        version = self._deployment.next_version(service)
        self._rng.shuffle(replicas)
        first = 1 + (self._rng.random() < TWO_REPLICAS_SHARE)
        pause_s = self._rng.uniform(*PAUSE_S)
        pauses = [gevent.spawn(self._pause, name, pause_s) for name in self._entries()]
        restarts = [
            gevent.spawn(self._restart, replica, version)
            for replica in replicas[:first]
        ]
        gevent.joinall(pauses + restarts, raise_error=True)
        for replica in replicas[first:]:
            gevent.sleep(self._rng.uniform(*FOLLOW_S))
            self._restart(replica, version)

    def _entries(self) -> list[str]:
        """Return one entry, or two of them."""
        count = 1 + (self._rng.random() < TWO_ENTRIES_SHARE)
        return self._rng.sample(self._deployment.topology.entry_names, count)

    def _pause(self, name: str, for_s: float) -> None:
        program = self._deployment.fleet.programs[name]
        with self._recorded(FaultKind.ENTRY_PAUSED, name):
            program.signal(signal.SIGSTOP)
            gevent.sleep(for_s)
            program.signal(signal.SIGCONT)

    def _restart(self, replica: Replica, version: str) -> None:
        down_s = self._rng.uniform(*DOWN_S)
        keeps_id = self._rng.random() < SAME_ID_SHARE
        is_late = self._rng.random() < LATE_SHARE
        late_s = self._rng.uniform(0.0, MAX_LATE_S) if is_late else 0.0
        self._deployment.restart(
            replica, version, down_s=down_s, keeps_id=keeps_id, late_s=late_s
        )
