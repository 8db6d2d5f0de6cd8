"""Decodes what replicas announce of themselves."""

from __future__ import annotations

import json

from ..configuration.value_types import check_address
from ..directory.record_check import check_record
from ..directory.replica_state import ReplicaState
from ..errors.configuration import InvalidConfiguration
from ..messages.directory import ReplicaRecord
from .wire_fields import WireFields

# An announcement with any other state is refused.
STATES = {'ready': ReplicaState.READY, 'draining': ReplicaState.DRAINING}
WHERE = 'announcement'
MAX_ANNOUNCEMENT_BYTES = 256 * 1024


def decode_announcement(replica: str, content: bytes) -> ReplicaRecord:
    """Return the record of an announcement; raises `InvalidConfiguration`."""
    fields = _fields(content)
    state = fields.text('state')
    if state not in STATES:
        raise InvalidConfiguration(where=WHERE, reason='unknown_state')
    try:
        address = check_address(fields.text('address'))
    except ValueError as exc:
        raise InvalidConfiguration(where=WHERE, reason='bad_address') from exc
    record = ReplicaRecord(
        replica=replica,
        born_ms=fields.integer('born', 0),
        sequence=fields.integer('sequence'),
        service=fields.text('backend'),
        address=address,
        zone=fields.text('zone'),
        slots=fields.integer('slots'),
        state=STATES[state],
        warmup_ms=int(fields.number('warmup_left_ms', 0)),
        software_version=fields.text('version', ''),
    )
    check_record(record)
    return record


def decode_departure(content: bytes) -> int:
    """Return when the lifetime that departs began, in Unix milliseconds.

    Returns 0 if its replica does not say so, or not readably.
    """
    try:
        return _fields(content).integer('born', 0)
    except InvalidConfiguration:
        return 0


def _fields(content: bytes) -> WireFields:
    """Return the fields that a replica sent; raises `InvalidConfiguration`."""
    if len(content) > MAX_ANNOUNCEMENT_BYTES:
        raise InvalidConfiguration(where=WHERE, reason='too_long')
    try:
        data = json.loads(content)
    except (ValueError, RecursionError) as exc:
        raise InvalidConfiguration(where=WHERE, reason='unreadable') from exc
    return WireFields(data=data, where=WHERE)
