"""Checks that the record of a replica can be stored, sent and used."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs

from ..errors.configuration import InvalidConfiguration
from ..messages.ranges import MAX_INTEGER
from ..util.plain_text import text_error
from .replica_state import ReplicaState

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord

# Ids, zones and versions are sent in headers and in each change of the directory.
MAX_NAME_CHARS = 256
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 24 * 3600 * 1000
# Clocks of VMs differ by seconds and may jump by as much.
CLOCK_TOLERANCE_MS = 60_000

RANGES = {
    'born_ms': (0, MAX_INTEGER),
    'sequence': (0, MAX_INTEGER),
    'slots': (1, MAX_SLOTS),
    'warmup_ms': (0, MAX_WARMUP_MS),
}
STATES = frozenset(ReplicaState)


def check_record(record: ReplicaRecord) -> None:
    """Raise `InvalidConfiguration` for the first field that is out of range."""
    for name in _text_fields(type(record)):
        error = text_error(getattr(record, name), MAX_NAME_CHARS)
        if error:
            raise InvalidConfiguration(where=name, reason=error)
    for name, (low, high) in RANGES.items():
        if not low <= getattr(record, name) <= high:
            raise InvalidConfiguration(where=name, reason='out_of_range')
    if record.state not in STATES:
        raise InvalidConfiguration(where='state', reason='unknown')
    check_replica_id(record.replica)


def check_replica_id(replica: str) -> None:
    """Raise `InvalidConfiguration` if a header can't carry the id unchanged."""
    error = text_error(replica, MAX_NAME_CHARS)
    if error:
        raise InvalidConfiguration(where='replica', reason=error)
    if not replica or replica != replica.strip():
        raise InvalidConfiguration(where='replica', reason='blank')


def check_start(record: ReplicaRecord, time_ms: int) -> None:
    """Raise `InvalidConfiguration` if a replica starts in the future.

    Such a record would end the replica that is live at its address.  `time_ms`
    is the time of day in milliseconds.
    """
    if record.born_ms > time_ms + CLOCK_TOLERANCE_MS:
        raise InvalidConfiguration(where='born_ms', reason='in_the_future')


@functools.cache
def _text_fields(cls: type) -> tuple[str, ...]:
    attrs.resolve_types(cls)
    return tuple(f.name for f in attrs.fields(cls) if f.type is str)
