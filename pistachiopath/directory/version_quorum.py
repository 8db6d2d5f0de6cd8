"""Which software versions more than half of the control nodes know."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..streams.service_version import ServiceVersion, version_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..messages.directory import News

logger = logging.getLogger(__name__)

# A majority is more than this share of the group.
MAJORITY = 0.5


class VersionQuorum:
    """Tells which versions are established: known to a majority of control nodes.

    Two majorities of one group have a member in common.  So if streams begin at
    established versions only, any majority that is asked later knows of the version,
    though some control nodes are cut off.  The group holds all control nodes that the
    heard ones name, be it as heard by them or as members of the replicated log.

    A control node counts itself with `own_address`, as it knows what it announces; an
    entry has none.

    >>> quorum = VersionQuorum()
    >>> v2 = ServiceVersion(service='model', version='v2')
    >>> quorum.is_established(v2, ('a:1',))
    False
    """

    def __init__(self, *, own_address: str = '') -> None:
        self._own_address = own_address
        self._feeds: dict[str, int] = {}
        self._named: dict[str, frozenset[str]] = {}
        self._known: dict[str, set[ServiceVersion]] = {}
        self._established: set[ServiceVersion] = set()

    def heard(self, control: str, news: News) -> None:
        """Record what a control node knows."""
        if self._feeds.get(control) != news.feed:
            # It has started again, and may have forgotten what it knew.
            self._feeds[control] = news.feed
            self._known[control] = set()
        self._named[control] = frozenset((control, *news.controls, *news.members))
        self._known[control].update(map(version_of, news.records))
        for found in news.established:
            self._establish(
                ServiceVersion(service=found.service, version=found.software_version),
                source=control,
            )

    def group(self, heard: Iterable[str]) -> frozenset[str]:
        """Return all control nodes, as those that are `heard` name them.

        If none is heard, what they named before counts.
        """
        names = [self._named[c] for c in heard if c in self._named]
        own = frozenset((self._own_address,)) if self._own_address else frozenset()
        return own.union(*(names or self._named.values()))

    def is_majority(self, controls: Iterable[str], heard: Iterable[str]) -> bool:
        """Return whether some control nodes are more than half of the group.

        There is no group before another node has named it.
        """
        if not self._named:
            return False
        group = self.group(heard)
        return len(group.intersection(controls)) > MAJORITY * len(group)

    def is_established(self, version: ServiceVersion, heard: Iterable[str]) -> bool:
        """Return whether a majority knows a version, or knew it before."""
        if version in self._established:
            return True
        if not self.is_majority(self._knowers(version), heard):
            return False
        self._establish(version, source='')
        return True

    def lacking(self, version: ServiceVersion, heard: Iterable[str]) -> list[str]:
        """Return the heard control nodes that have not told of a version."""
        knowers = self._knowers(version)
        return [control for control in heard if control not in knowers]

    def keep(self, is_kept: Callable[[ServiceVersion], bool]) -> None:
        """Forget the versions that are not kept."""
        self._established = set(filter(is_kept, self._established))
        for control, known in self._known.items():
            self._known[control] = set(filter(is_kept, known))

    def _knowers(self, version: ServiceVersion) -> set[str]:
        knowers = {c for c, known in self._known.items() if version in known}
        return knowers | {self._own_address} if self._own_address else knowers

    def _establish(self, version: ServiceVersion, *, source: str) -> None:
        """Log a version that is established; `source` is who told so, if anyone did."""
        if version in self._established:
            return
        self._established.add(version)
        logger.info(
            'version_established',
            extra={
                'service': version.service,
                'software_version': version.version,
                'knowers': ','.join(sorted(self._knowers(version))),
                'source': source,
            },
        )
