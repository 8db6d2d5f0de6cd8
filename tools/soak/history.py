"""Everything that was seen in a run."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

from .arrival import Arrival
from .attempt import Attempt
from .bounds import Bounds
from .fault import FaultRecord
from .fault_kind import PLANNED_WORK, FaultKind
from .operations import Departure, OwnEnd, Put, Read, SoftwareSpan, UncaughtError, Usage
from .request_kind import RequestKind
from .topology import ENGINE_SERVICE, service_of

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@attrs.define(kw_only=True)
class History:
    """Records of a run, in the order in which they were made."""

    started_at: float = 0.0
    faults_from: float = 0.0
    faults_until: float = 0.0
    ended_at: float = 0.0
    bounds: Bounds = attrs.field(factory=Bounds)
    attempts: list[Attempt] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    faults: list[FaultRecord] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    reads: list[Read] = attrs.field(factory=list)
    last_reads: list[Read] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    software: list[SoftwareSpan] = attrs.field(factory=list)
    own_ends: list[OwnEnd] = attrs.field(factory=list)
    errors: list[UncaughtError] = attrs.field(factory=list)
    usages: list[Usage] = attrs.field(factory=list)

    def requests(self) -> Iterator[tuple[Attempt, list[Arrival]]]:
        """Yield each attempt with what of it reached replicas."""
        arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            arrivals[arrival.request].append(arrival)
        for attempt in self.attempts:
            yield attempt, arrivals.get(attempt.request, [])

    def attempts_by_request(self) -> dict[str, Attempt]:
        """Return the attempt of each request id."""
        return {attempt.request: attempt for attempt in self.attempts}

    def disturbances(
        self, names: tuple[str, ...], since: float, until: float
    ) -> list[FaultRecord]:
        """Return unplanned faults of programs, links or replicas in a span of time.

        A fault counts until `bounds.contact_s` after its end.
        """
        return [
            fault
            for fault in self.faults
            if fault.kind not in PLANNED_WORK
            and _concerns(fault, names)
            and fault.overlaps(since - self.bounds.contact_s, until)
        ]

    def is_entry_calm(self, entry: str, since: float, until: float) -> bool:
        """Return whether an entry and its link were not disturbed."""
        return not self.disturbances((entry, f'link-{entry}'), since, until)

    def is_core_calm(self, since: float, until: float) -> bool:
        """Return whether no control node was disturbed or stopped."""
        return not any(
            fault.target.startswith(('control-', 'link-control-'))
            or fault.kind in (FaultKind.CORE_KILLED, FaultKind.SOAK_LATE)
            for fault in self.faults
            if fault.overlaps(since - self.bounds.contact_s, until)
        )

    def stop_of(self, entry: str, at: float) -> FaultRecord | None:
        """Return the planned stop of an entry that is under way at a moment."""
        for fault in self.faults:
            is_stop = fault.kind is FaultKind.ENTRY_STOPPED and fault.target == entry
            if is_stop and fault.overlaps(at, at):
                return fault
        return None

    def versions_served(self, at: float, replicas: int) -> set[str]:
        """Return the engine's versions of which so many replicas ran at a moment."""
        counts = Counter(
            span.version
            for span in self.software
            if service_of(span.place) == ENGINE_SERVICE
            and span.began_at <= at < span.ended_at
        )
        return {version for version, count in counts.items() if count >= replicas}

    def around(self, at: float, span_s: float = 5.0) -> list[FaultRecord]:
        """Return all faults within `span_s` before a moment, or 1 s after it."""
        return [f for f in self.faults if f.overlaps(at - span_s, at + 1.0)]

    def save(self, folder: Path) -> None:
        """Write each list as a file of JSON lines."""
        for field in attrs.fields(type(self)):
            records = getattr(self, field.name)
            if not isinstance(records, list):
                continue
            with (folder / f'{field.name}.jsonl').open('w') as file:
                for record in records:
                    file.write(json.dumps(attrs.asdict(record), default=_plain) + '\n')


def _concerns(fault: FaultRecord, names: tuple[str, ...]) -> bool:
    return fault.kind is FaultKind.SOAK_LATE or fault.target in names


def _plain(value: object) -> str:
    return value.name.lower() if isinstance(value, RequestKind) else str(value)
