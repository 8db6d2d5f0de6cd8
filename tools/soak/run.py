"""One run of the soak: a seed's plan against a new deployment."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import gevent

from .checks import violations
from .checks.violation import Violation
from .deployment import Deployment
from .history import History
from .injector import Injector
from .plan import make_plan
from .plot import save_plot
from .report import render
from .topology import Topology

if TYPE_CHECKING:
    from .fault_kind import FaultKind
    from .plan import Plan

WARM_UP_S = 4.0
# Calm after the last fault: the time to recover, and some time to see that.
SEEN_S = 4.0


@attrs.define(kw_only=True, frozen=True)
class Result:
    """What a run of a seed found, and where its logs are."""

    seed: int
    violations: tuple[Violation, ...]
    report: str
    folder: Path


def run_seed(
    seed: int, *, length_s: float, size: int, kinds: frozenset[FaultKind], folder: Path
) -> Result:
    """Run the plan of a seed; the logs and records go to `folder`.

    Raises `NotStarted` if the programs do not start.
    """
    folder.mkdir(parents=True, exist_ok=True)
    topology = Topology.of_size(size)
    plan = make_plan(seed, length_s, topology, kinds)
    (folder / 'plan.txt').write_text('\n'.join(map(str, plan.faults)) + '\n')
    history = History(started_at=time.monotonic())
    try:
        _play(plan, topology, history, folder)
    finally:
        history.ended_at = time.monotonic()
        history.save(folder)
    found = tuple(violations(history))
    report = render(seed, history, found)
    (folder / 'report.txt').write_text(report + '\n')
    save_plot(history, folder / 'report.png')
    return Result(seed=seed, violations=found, report=report, folder=folder)


def _play(plan: Plan, topology: Topology, history: History, folder: Path) -> None:
    deployment = Deployment(
        topology=topology, folder=folder, history=history, seed=plan.seed
    )
    with deployment:
        deployment.start()
        deployment.start_callers()
        gevent.sleep(WARM_UP_S)
        history.faults_from = time.monotonic()
        Injector(deployment=deployment, rng=deployment.rng('faults')).run(plan)
        history.faults_until = time.monotonic()
        gevent.sleep(history.bounds.recover_s + SEEN_S)
        deployment.read_everywhere()
        deployment.check_greenlets()
