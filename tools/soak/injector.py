"""Carries out the faults of a plan."""

from __future__ import annotations

import contextlib
import logging
import signal
import time
from typing import TYPE_CHECKING

import gevent

from .disturbed_program import Disturbance
from .fault import FaultRecord
from .fault_kind import FaultKind
from .paused_release import PausedRelease
from .replica_faults import ReplicaFaults
from .unreported_release import UnreportedRelease

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from .deployment import Deployment
    from .fault import Fault
    from .plan import Plan

logger = logging.getLogger(__name__)

DELAY_S = 0.15
SLOW_SYNC_S = 0.2
MAX_STEP_S = 4.0
# Part of the cuts in which an entry is on the side of the control node.
ENTRY_CUT_SHARE = 0.5


class Injector:
    """Runs each fault in a greenlet of its own and records when it was in effect."""

    def __init__(self, *, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._fleet = deployment.fleet
        self._topology = deployment.topology
        self._history = deployment.history
        self._rng = rng
        self._replicas = ReplicaFaults(deployment=deployment, rng=rng)
        self._paused_release = PausedRelease(
            deployment=deployment, rng=rng, recorded=self._recorded
        )
        self._unreported_release = UnreportedRelease(
            deployment=deployment, rng=rng, recorded=self._recorded
        )

    def run(self, plan: Plan) -> None:
        """Carry out a plan and return after the end of its last fault."""
        began_at = time.monotonic()
        greenlets = []
        for fault in plan.faults:
            gevent.sleep(max(0.0, began_at + fault.at_s - time.monotonic()))
            greenlets.append(gevent.spawn(self._carry_out, fault))
        gevent.joinall(greenlets, raise_error=True)

    def _carry_out(self, fault: Fault) -> None:
        logger.info('fault', extra={'kind': fault.kind, 'target': fault.target})
        with self._recorded(fault.kind, fault.target):
            self._action(fault.kind)(fault)

    @contextlib.contextmanager
    def _recorded(self, kind: FaultKind, target: str) -> Iterator[None]:
        """Record a fault for as long as the block runs."""
        record = FaultRecord(kind=kind, target=target, began_at=time.monotonic())
        self._history.faults.append(record)
        try:
            yield
        finally:
            record.ended_at = time.monotonic()

    def _action(self, kind: FaultKind) -> Callable[[Fault], object]:
        operator = self._deployment.operator
        actions = {
            FaultKind.ENTRY_STOPPED: self._stop,
            FaultKind.CONTROL_STOPPED: self._stop,
            FaultKind.ENTRY_PAUSED: self._pause,
            FaultKind.CONTROL_PAUSED: self._pause,
            FaultKind.AGENT_PAUSED: self._pause,
            FaultKind.ENTRY_KILLED: self._kill,
            FaultKind.CONTROL_KILLED: self._kill,
            FaultKind.CORE_KILLED: self._kill,
            FaultKind.AGENT_KILLED: self._kill,
            FaultKind.CORE_CUT: self._cut_core,
            FaultKind.STORAGE_SLOW: self._disturb_program,
            FaultKind.STORAGE_FULL: self._disturb_program,
            FaultKind.CLOCK_STEPPED: self._disturb_program,
            FaultKind.SEEDS_LOST: self._lose_seeds,
            FaultKind.SETTINGS_CHANGED: self._change_settings,
            FaultKind.RELEASE_IN_PAUSE: self._paused_release.carry_out,
            FaultKind.RELEASE_UNREPORTED: self._unreported_release.carry_out,
            FaultKind.CONFIGURATION_CHANGED: lambda _: operator.change(),
            FaultKind.CONFIGURATION_INVALID: lambda _: operator.send_invalid(),
        }
        if kind.group == 'link':
            return self._disturb_link
        return actions.get(kind, self._replicas.carry_out)

    # Programs

    def _kill(self, fault: Fault) -> None:
        """Kill a program, or all control nodes with a disk, and start it again."""
        names = (fault.target,) if fault.target else self._topology.control_names
        self._kill_together(names, fault.for_s)

    def _kill_together(self, names: tuple[str, ...], down_s: float) -> None:
        programs = [self._fleet.programs[name] for name in names]
        for program in programs:
            program.is_down = True
            program.signal(signal.SIGKILL)
        for program in programs:
            program.kill()
        gevent.sleep(down_s)
        for program in programs:
            program.start()

    def _lose_seeds(self, fault: Fault) -> None:
        """Name the control nodes without a disk as the seeds; kill these together.

        They stay the seeds afterwards.
        """
        names = self._topology.diskless_names
        seeds = [self._topology.link(name) for name in names]
        changes = [
            gevent.spawn(program.change_settings, seeds=seeds)
            for program in self._fleet.programs.values()
        ]
        gevent.joinall(changes, raise_error=True)
        self._kill_together(names, fault.for_s)

    def _pause(self, fault: Fault) -> None:
        program = self._fleet.programs[fault.target]
        program.signal(signal.SIGSTOP)
        gevent.sleep(fault.for_s)
        program.signal(signal.SIGCONT)

    def _stop(self, fault: Fault) -> None:
        self._fleet.stop_gracefully(fault.target, self._history.bounds.grace_s)
        gevent.sleep(fault.for_s)
        self._fleet.programs[fault.target].start()

    def _disturb_program(self, fault: Fault) -> None:
        disturbances = {
            FaultKind.STORAGE_SLOW: Disturbance(sync_s=SLOW_SYNC_S),
            FaultKind.STORAGE_FULL: Disturbance(is_full=True),
            FaultKind.CLOCK_STEPPED: Disturbance(
                clock_s=self._rng.uniform(-MAX_STEP_S, MAX_STEP_S)
            ),
        }
        program = self._fleet.programs[fault.target]
        program.disturb(disturbances[fault.kind])
        gevent.sleep(fault.for_s)
        program.disturb(Disturbance())

    def _change_settings(self, fault: Fault) -> None:
        """Change the order of the seeds, and sometimes leave one out."""
        names = self._topology.control_names
        seeds = [self._topology.link(name) for name in names]
        self._rng.shuffle(seeds)
        kept = self._rng.randint(2, len(seeds))
        self._fleet.programs[fault.target].change_settings(seeds=seeds[:kept])

    # Links

    def _cut_core(self, fault: Fault) -> None:
        """Cut a control node, and sometimes an entry, off from all others."""
        if self._rng.random() >= ENTRY_CUT_SHARE:
            self._cut_off({fault.target}, fault.for_s)
            return
        entry = self._rng.choice(self._topology.entry_names)
        with self._recorded(fault.kind, entry):
            self._cut_off({fault.target, entry}, fault.for_s)

    def _cut_off(self, names: set[str], for_s: float) -> None:
        partition = self._deployment.partition
        partition.begin(names)
        gevent.sleep(for_s)
        partition.end()

    def _disturb_link(self, fault: Fault) -> None:
        proxy = self._deployment.links[fault.target.removeprefix('link-')]
        match fault.kind:
            case FaultKind.LINK_RESET:
                proxy.reset()
            case FaultKind.LINK_DELAYED:
                proxy.delay_s = DELAY_S
            case FaultKind.LINK_ONE_WAY:
                proxy.hold(self._rng.choice(('in', 'out')))
            case FaultKind.LINK_SILENT:
                proxy.hold('in', 'out')
        gevent.sleep(fault.for_s)
        proxy.delay_s = 0.0
        proxy.release()
