"""The plan of a run: which faults, when and where, from a seed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from .fault import Fault
from .fault_kind import CORE_KINDS, RELEASE_KINDS, WHOLE_RELEASES, FaultKind
from .topology import ENGINE_SERVICE, PLAIN_SERVICES

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .topology import Topology

# Seconds between faults of a group, which overlap, and of calm between groups.
MAX_OFFSET_S = 1.5
CALM_S = (0.3, 4.0)
MAX_GROUP = 4


@attrs.define(kw_only=True, frozen=True)
class Plan:
    """Faults in the order of their times; the last one ends before `length_s`."""

    seed: int
    length_s: float
    faults: tuple[Fault, ...]


def make_plan(
    seed: int, length_s: float, topology: Topology, kinds: Iterable[FaultKind]
) -> Plan:
    """Return the plan of a seed: groups of overlapping faults, with calm between.

    Each of the kinds comes once, in random order, before any comes again.
    """
    rng = random.Random(seed)
    kinds_in_order = _kinds(rng, sorted(kinds))
    faults: list[Fault] = []
    at_s = 0.0
    while at_s < length_s:
        group: list[Fault] = []
        for _ in range(rng.randint(1, MAX_GROUP)):
            fault = _fault(rng, next(kinds_in_order), at_s, topology)
            if not any(_conflict(fault, other) for other in group):
                group.append(fault)
        faults += [f for f in group if f.at_s + f.for_s <= length_s]
        at_s = max(f.at_s + f.for_s for f in group) + rng.uniform(*CALM_S)
    faults.sort(key=lambda f: f.at_s)
    return Plan(seed=seed, length_s=length_s, faults=tuple(faults))


def _kinds(rng: random.Random, kinds: list[FaultKind]) -> Iterator[FaultKind]:
    while True:
        yield from rng.sample(kinds, len(kinds))


def _fault(
    rng: random.Random, kind: FaultKind, at_s: float, topology: Topology
) -> Fault:
    return Fault(
        kind=kind,
        target=rng.choice(_targets(kind, topology)),
        at_s=round(at_s + rng.uniform(0.0, MAX_OFFSET_S), 3),
        for_s=round(rng.uniform(*kind.durations_s), 3),
    )


def _targets(kind: FaultKind, topology: Topology) -> tuple[str, ...]:
    services = (ENGINE_SERVICE, *PLAIN_SERVICES)
    groups = {
        '': ('',),
        'entry': topology.entry_names,
        'control': topology.control_names,
        'program': tuple(
            n for n in topology.program_names if n not in topology.diskless_names
        ),
        'agent': topology.agent_names,
        'settings': topology.entry_names + topology.control_names,
        'link': tuple(f'link-{name}' for name in topology.linked_names),
        'replica': topology.replica_names,
        'replica or service': topology.replica_names + services,
        'engine': topology.engine_names,
        'engines': (ENGINE_SERVICE,),
    }
    return groups[kind.group]


def _conflict(fault: Fault, other: Fault) -> bool:
    """Return whether two faults can't overlap: one target, or most of the core."""
    kinds = {fault.kind, other.kind}
    if kinds <= CORE_KINDS:
        return True
    if kinds <= WHOLE_RELEASES:
        return True
    if kinds & RELEASE_KINDS:
        return any(kind.startswith('replica') for kind in kinds)
    return fault.target == other.target and bool(fault.target)
