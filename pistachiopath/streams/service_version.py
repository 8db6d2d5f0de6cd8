"""The software version by which replicas may continue each other's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord

UNKNOWN_PREFIX = '?'


@attrs.define(kw_only=True, frozen=True)
class ServiceVersion:
    """The version of the software that the replicas of a service run."""

    service: str
    version: str


def version_of(record: ReplicaRecord) -> ServiceVersion:
    """Return the version of a replica.

    A version that is not known equals no other, so such a replica has one of its
    own for each lifetime:

    >>> from ..messages.directory import ReplicaRecord
    >>> version_of(ReplicaRecord(
    ...     replica='r1', born_ms=7, sequence=1, service='s', address='a:1',
    ...     zone='z', slots=1, state='ready')).version
    '?r1.7'
    """
    unknown = f'{UNKNOWN_PREFIX}{record.replica}.{record.born_ms}'
    return ServiceVersion(
        service=record.service, version=record.software_version or unknown
    )
