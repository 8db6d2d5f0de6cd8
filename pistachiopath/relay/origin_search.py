"""Search for the version that began a stream which another entry delivered."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import attrs

from ..lifetimes.continuations import ASK_INTERVAL_S
from ..lifetimes.origin_source import OriginSource
from ..lifetimes.process_spans import ProcessSpan
from ..lifetimes.version_deduction import Certainty, Deduction
from ..streams.origin import Origin
from ..streams.service_version import ServiceVersion
from .patience import patience_s
from .targets import DIRECTORY_FILL_S
from .work import Work

if TYPE_CHECKING:
    from ..directory.subscriber import Subscriber
    from ..lifetimes.continuations import Continuations
    from ..lifetimes.known_lifetimes import KnownLifetimes
    from ..lifetimes.stream_finder import StreamFinder
    from ..lifetimes.version_deduction import VersionDeduction
    from .targets import Targets

# One period of announcements and a little, within which all replicas have reported.
MAX_SEARCH_S = 1.5
# Share of the time for which a caller waits for its first event.
SEARCH_PATIENCE_SHARE = 0.8
# An entry whose answer broke off has told a control node of the stream by then.
NOTE_WAIT_S = 0.3


@attrs.define(kw_only=True)
class Search:
    """A search for the caller of `work`, and what it has come to.

    The stream was begun before `returned_at`, and the search at `began_at`, both in
    seconds of a monotonic clock.  `awaits_proof` tells whether a holder has named a
    lifetime that the next report may prove, and `asked_at` is when control nodes were
    asked last what replicas have reported.  If a holder has named the process that
    began the stream, `process_version` is its proven version, and `process_since` is
    since when it is known to have run.
    """

    work: Work
    returned_at: float
    began_at: float
    origin: Origin | None = None
    source: OriginSource = OriginSource.NONE
    deduction: Deduction = Deduction(certainty=Certainty.WAITS)
    awaits_proof: bool = False
    process_version: ServiceVersion | None = None
    process_since: float = -math.inf
    asked_at: float = -math.inf

    @property
    def has_one_service(self) -> bool:
        """Whether it is known which service began the stream."""
        return len(self.work.admitted.route.shares) == 1


class OriginSearch:
    """Asks gates and control nodes who began a stream, and deduces it meanwhile.

    What a holder has not confirmed is what an entry believed that is lost since.  It
    counts if reports show that the lifetime it names ran from the grant of the place
    until the return.  A deduction needs the same of all replicas of the service.
    """

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        targets: Targets,
        finder: StreamFinder,
        lifetimes: KnownLifetimes,
        deduction: VersionDeduction,
        continuations: Continuations,
    ) -> None:
        self._subscriber = subscriber
        self._targets = targets
        self._finder = finder
        self._lifetimes = lifetimes
        self._deduction = deduction
        self._continuations = continuations

    def run(self, work: Work, returned_at: float) -> Search:
        """Return what was found; the origin is None if nobody knows it."""
        now = time.monotonic()
        search = Search(work=work, returned_at=returned_at, began_at=now)
        wait_s = SEARCH_PATIENCE_SHARE * patience_s(work, now)
        search.origin = self._finder.find(
            work.stream,
            lambda: self._holders(work),
            is_complete=lambda: self._is_complete(search),
            until=now + min(MAX_SEARCH_S, wait_s),
            is_proven=lambda origin: self._is_proven(search, origin),
            deduce=lambda: self._deduce(search),
            asks_again=lambda: frozenset(self._subscriber.heard(time.monotonic())),
        )
        if search.origin is not None and search.origin.address:
            search.origin = attrs.evolve(search.origin, version=search.process_version)
        if search.origin is None and search.deduction.is_of_most:
            search.origin = search.deduction.origin(now)
        search.source = self._source(search.origin)
        return search

    def _holders(self, work: Work) -> frozenset[str]:
        """Return the nodes that may know who began a stream."""
        services = frozenset(share.service for share in work.admitted.route.shares)
        controls = self._subscriber.heard(time.monotonic())
        return self._targets.all_gates(services).union(controls)

    def _is_complete(self, search: Search) -> bool:
        """Return whether nothing more can be learned by waiting."""
        now = time.monotonic()
        if self._subscriber.contact_s(now) < DIRECTORY_FILL_S or search.awaits_proof:
            return False
        if search.deduction.is_of_most:
            return True
        is_noted = now - search.began_at >= NOTE_WAIT_S
        return is_noted and search.deduction.certainty is not Certainty.WAITS

    def _is_proven(self, search: Search, origin: Origin) -> bool:
        """Return whether an origin that is not confirmed is right; ask if it may be."""
        if origin.address:
            return self._is_process_proven(search, origin)
        is_proven = self._lifetimes.ran(
            origin.replica, origin.born_ms, origin.granted_at, search.returned_at
        )
        search.awaits_proof = not is_proven and self._lifetimes.is_current(
            origin.replica, origin.born_ms
        )
        if search.awaits_proof:
            self._continuations.ask([origin.replica], time.monotonic())
        return is_proven

    def _is_process_proven(self, search: Search, origin: Origin) -> bool:
        """Return whether the version of the process that began a stream is proven."""
        span = ProcessSpan(since=origin.opened_at, until=origin.alive_until)
        search.process_version = self._lifetimes.version_of_process(
            origin.replica, origin.address, span
        )
        search.process_since = origin.opened_at
        search.awaits_proof = search.process_version is None
        if search.awaits_proof:
            self._continuations.ask([origin.replica], time.monotonic())
        return not search.awaits_proof

    def _deduce(self, search: Search) -> Origin | None:
        """Return the origin once it is certain; ask for what is missing."""
        admitted = search.work.admitted
        now = time.monotonic()
        search.deduction = self._deduction.look(
            admitted.route, admitted.service, search.returned_at
        )
        is_due = now - search.asked_at >= ASK_INTERVAL_S
        if is_due and search.deduction.certainty is Certainty.WAITS:
            search.asked_at = now
            replicas = self._deduction.to_ask_for(admitted.service, search.returned_at)
            self._continuations.ask(replicas, now)
        is_certain = search.deduction.certainty is Certainty.CERTAIN
        if is_certain and search.has_one_service:
            return search.deduction.origin(now)
        return None

    def _source(self, origin: Origin | None) -> OriginSource:
        if origin is None:
            return OriginSource.NONE
        if not origin.holder:
            return OriginSource.DEDUCED
        is_control = origin.holder in self._subscriber.controls()
        return OriginSource.CONTROL if is_control else OriginSource.GATE
