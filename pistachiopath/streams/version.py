"""The software version by which replicas may continue each other's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord

UNKNOWN_PREFIX = '?'


def version_of(record: ReplicaRecord) -> str:
    """Return the version of a replica's software.

    A version that is not known equals no other, so such a replica has one of its
    own for each lifetime:

    >>> from ..messages.directory import ReplicaRecord
    >>> version_of(ReplicaRecord(
    ...     replica='r1', born_ms=7, sequence=1, service='s', address='a:1',
    ...     zone='z', slots=1, state='ready'))
    '?r1.7'
    """
    return (
        record.software_version or f'{UNKNOWN_PREFIX}{record.replica}.{record.born_ms}'
    )
