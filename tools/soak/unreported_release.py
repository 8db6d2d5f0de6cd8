"""A release whose first reports come late, while entries are lost."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import gevent

from .fault_kind import FaultKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from .deployment import Deployment
    from .fault import Fault

READERS = 16
REBORN_SHARE = 0.5
DOWN_S = (0.1, 0.6)
LATE_S = (1.0, 4.0)
# Part of that time after which an entry is lost.
LOSS_SHARE = (0.3, 0.8)
DEAD_S = 0.1
# Until the next entry is lost, if there is one.
NEXT_S = 0.4


class UnreportedRelease:
    """Restarts replicas under their ids, and kills entries before these report.

    All replicas of the service but one start again with the next version and serve
    at once.  Readers of long streams start then, and one or two of the entries are
    lost.  In some releases all entries have started anew with the replicas, so that
    they have seen no connection break.  `recorded` keeps the record of a fault for as
    long as its block runs.
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
        replicas = self._deployment.replicas_of(fault.target)
        version = self._deployment.next_version(fault.target)
        self._rng.shuffle(replicas)
        late_s = self._rng.uniform(*LATE_S)
        restarts = [
            gevent.spawn(
                self._deployment.restart,
                replica,
                version,
                down_s=self._rng.uniform(*DOWN_S),
                keeps_id=True,
                late_s=late_s,
            )
            for replica in replicas[1:]
        ]
        if self._rng.random() < REBORN_SHARE:
            self._lose(self._deployment.topology.entry_names)
        gevent.joinall(restarts, raise_error=True)
        self._deployment.start_readers(READERS)
        gevent.sleep(late_s * self._rng.uniform(*LOSS_SHARE))
        names = self._deployment.topology.entry_names
        for name in self._rng.sample(names, self._rng.randint(1, 2)):
            self._lose([name])
            gevent.sleep(NEXT_S)
        rest.join()
        self._deployment.restart(replicas[0], version, down_s=0.1, keeps_id=True)

    def _lose(self, names: Iterable[str]) -> None:
        """Kill entries and start them again."""
        programs = [self._deployment.fleet.programs[name] for name in names]
        with contextlib.ExitStack() as records:
            for name in names:
                records.enter_context(self._recorded(FaultKind.ENTRY_KILLED, name))
            for program in programs:
                program.kill()
            gevent.sleep(DEAD_S)
            for program in programs:
                program.start()
