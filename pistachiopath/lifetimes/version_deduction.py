"""Deduces that only one software version can have begun a stream."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING

import attrs

from ..directory.directory import GONE_RETENTION_S
from ..directory.replica_state import ReplicaState
from ..streams.origin import Origin
from ..streams.service_version import ServiceVersion
from ..util.recent import Recent

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..directory.subscriber import Subscriber
    from ..messages.directory import ReplicaRecord
    from ..routes.route import Route
    from .known_lifetimes import KnownLifetimes

# A stream that is resumed began at most this many times the route's timeout ago:
# a caller comes back within its deadline.
HORIZON_TIMEOUTS = 2.0
MAX_CHECKS = 1000
# For so long it is believed whether a replica accepts connections.
CHECK_INTERVAL_S = 1.0


class Certainty(enum.StrEnum):
    """How certain it is that no other version can have begun a stream.

    OTHERS: another version is known, or may have begun it.  WAITS: some control
    nodes have not answered, or replicas not reported, since the return.  MOST: as
    CERTAIN, by more than half of the control nodes, of which one at least knows each
    version at which streams have begun.  CERTAIN: all that is needed is known.
    """

    OTHERS = 'others'
    WAITS = 'waits'
    MOST = 'most'
    CERTAIN = 'certain'


@attrs.define(kw_only=True, frozen=True)
class Deduction:
    """The one version that is known, and how certain it is that it began a stream.

    `reason` is what is missing, with the name of a replica if it is about one.
    """

    certainty: Certainty
    reason: str = ''
    replica: str = ''
    version: ServiceVersion | None = None

    @property
    def is_of_most(self) -> bool:
        """Whether it holds as far as more than half of the control nodes know."""
        return self.certainty in (Certainty.MOST, Certainty.CERTAIN)

    def origin(self, now: float) -> Origin:
        """Return the origin of a stream that the version must have begun."""
        return Origin(version=self.version, attempt=0, is_confirmed=True, noted_at=now)


class VersionDeduction:
    """Decides whether a service can have begun a stream at one version only.

    That no other version is known does not show it: a replica that has started again
    is known for what it was until its first report.  So each replica of the service
    has to account for the time from the stream's earliest beginning until the return,
    by reports of one lifetime before and after.  One that has been quiet for
    `quiet_s` longer, and `accepts` no connection, is sent nothing.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        lifetimes: KnownLifetimes,
        accepts: Callable[[str], bool],
        quiet_s: float,
    ) -> None:
        self._subscriber = subscriber
        self._lifetimes = lifetimes
        self._accepts = accepts
        self._quiet_s = quiet_s
        self._checks: Recent[str, bool] = Recent(
            retention_s=CHECK_INTERVAL_S, most=MAX_CHECKS
        )
        self._by_service: dict[str, list[ReplicaRecord]] = {}
        self._records_of_change = -1

    def look(self, route: Route, service: str, returned_at: float) -> Deduction:
        """Return what follows from what is known now.

        The stream's caller came back at `returned_at`, in seconds of a monotonic
        clock, or later.
        """
        now = time.monotonic()
        begun_at = returned_at - HORIZON_TIMEOUTS * route.timeout_s
        age_s = self._subscriber.directory_age_s(now)
        if now - begun_at > min(age_s, GONE_RETENTION_S):
            return Deduction(certainty=Certainty.OTHERS, reason='young_directory')
        versions = self._subscriber.directory.versions(service)
        if len(versions) != 1:
            return Deduction(certainty=Certainty.OTHERS, reason='versions')
        found = self._look_at_controls(begun_at, returned_at, now)
        if found.is_of_most:
            lacking = self._look_at_replicas(service, begun_at, returned_at)
            found = lacking or found
        return attrs.evolve(found, version=next(iter(versions)))

    def to_ask_for(self, service: str, since: float) -> set[str]:
        """Return the replicas of which control nodes are to be asked.

        These are the ones that have not reported since a time.  If all have, control
        nodes still have to tell what else they know.
        """
        records = self._records(service)
        unreported = {
            record.replica
            for record in records
            if not self._lifetimes.has_reported(record, since)
        }
        return unreported or {record.replica for record in records}

    def _look_at_controls(
        self, begun_at: float, returned_at: float, now: float
    ) -> Deduction:
        """Return how many control nodes have told since the return what they know.

        A majority suffices, as streams begin at established versions only.  Unless all
        have told, it consists of control nodes that have known since then.
        """
        controls = self._subscriber
        has_majority = controls.answered_by_majority(returned_at, now)
        if has_majority and controls.answered_controls(returned_at, now) == 1.0:
            return Deduction(certainty=Certainty.CERTAIN)
        is_most = controls.answered_by_majority(returned_at, now, begin=begun_at)
        certainty = Certainty.MOST if is_most else Certainty.WAITS
        return Deduction(certainty=certainty, reason='controls')

    def _look_at_replicas(
        self, service: str, begun_at: float, returned_at: float
    ) -> Deduction | None:
        """Return what is missing of the service's replicas, None if nothing is."""
        waits = None
        for record in self._records(service):
            if self._is_out_of_use(record, begun_at):
                continue
            has_reported = self._lifetimes.has_reported(record, returned_at)
            if not has_reported and self._may_report(record):
                waits = Deduction(
                    certainty=Certainty.WAITS,
                    reason='unreported',
                    replica=record.replica,
                )
            elif not (has_reported and self._lifetimes.has_begun(record, begun_at)):
                return Deduction(
                    certainty=Certainty.OTHERS,
                    reason='restarted' if has_reported else 'silent',
                    replica=record.replica,
                )
        return waits

    def _may_report(self, record: ReplicaRecord) -> bool:
        """Return whether a report is expected soon."""
        silent_since = time.monotonic() - self._quiet_s
        is_silent = self._lifetimes.is_quiet(record.replica, silent_since)
        return record.state != ReplicaState.GONE and not is_silent

    def _is_out_of_use(self, record: ReplicaRecord, begun_at: float) -> bool:
        """Return whether a replica has been sent nothing since a time."""
        if not self._lifetimes.is_quiet(record.replica, begun_at - self._quiet_s):
            return False
        if record.state == ReplicaState.GONE:
            return True
        return not self._is_up(record.address)

    def _is_up(self, address: str) -> bool:
        """Return whether a replica accepts connections; ask it now and then."""
        is_up = self._checks.get(address, time.monotonic())
        if is_up is None:
            is_up = self._accepts(address)
            self._checks.note(address, is_up, time.monotonic())
        return is_up

    def _records(self, service: str) -> list[ReplicaRecord]:
        """Return the records of a service, sorted out anew when any has changed."""
        directory = self._subscriber.directory
        if directory.change != self._records_of_change:
            self._records_of_change = directory.change
            self._by_service.clear()
            for record in directory.records():
                self._by_service.setdefault(record.service, []).append(record)
        return self._by_service.get(service, [])
