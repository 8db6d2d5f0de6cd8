"""Decides whether a request leaves a silent replica, and finds it a place elsewhere."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs

from ..errors.exchange import ConnectFailed
from .exchange_run import CONNECT_TIMEOUT_S
from .hedge import Hedge
from .reservation import Reservation

if TYPE_CHECKING:
    from ..exchange.pool import ConnectionPool
    from ..lifetimes.continuations import Continuations
    from ..routing.placement import Candidate, Placement
    from .crashes import Crashes
    from .placer import Placer
    from .places import Grant, Places
    from .retries import Retries
    from .work import Work

logger = logging.getLogger(__name__)


class Hedges:
    """Starts a `Hedge` for each request whose replica has fallen silent.

    A sound replica may pause and go on.  So a request leaves it only for a replica
    that accepts a connection and has granted a place, if the request may be sent
    again and the retry budget allows it.
    """

    def __init__(
        self,
        *,
        placer: Placer,
        places: Places,
        placement: Placement,
        pool: ConnectionPool,
        crashes: Crashes,
        retries: Retries,
        continuations: Continuations,
    ) -> None:
        self._placer = placer
        self._places = places
        self._placement = placement
        self._pool = pool
        self._crashes = crashes
        self._retries = retries
        self._continuations = continuations

    def begin(self, work: Work, *, delivered: bool) -> Hedge | None:
        """Return a running search, or None if the request has to stay.

        `delivered` tells whether the caller has received a part of the answer.
        """
        now = time.monotonic()
        self._placement.health.failed(work.replica, now)
        may_move = self._retries.may_repeat(work, delivered=delivered, now=now)
        logger.info(
            'answer_stalled',
            extra={
                'request': work.req.request_id,
                'replica': work.replica,
                'ran_ms': work.ran_ms(now),
                'delivered': delivered,
                'may_move': may_move,
            },
        )
        if not may_move:
            return None
        excluded = frozenset(work.excluded | {work.replica})
        return Hedge(search=lambda: self._search(work, excluded), release=self._release)

    def _is_settled(self, work: Work) -> bool:
        """Return whether the stream is proven to be of the version known so far."""
        return self._continuations.settle(work.start) == work.stream_version

    def _search(self, work: Work, excluded: frozenset[str]) -> Reservation | None:
        """Return a reservation, for which the retry budget has been charged."""
        now = time.monotonic()
        if self._crashes.is_quarantined(work, now) or not self._retries.has_budget(
            work
        ):
            return None
        if work.start is not None and not self._is_settled(work):
            return None
        work.tries += 1
        moved = attrs.evolve(work, excluded=set(excluded), denied=set())
        candidate = self._placer.choose_other(moved)
        # A search that is repeated keeps the version that was drawn.
        work.split_choice = moved.split_choice
        if candidate is None:
            return None
        found = self._reserve(moved, candidate)
        if found is None:
            return None
        if not self._may_send(work, candidate) or not self._retries.take_budget(work):
            self._release(found)
            return None
        logger.info(
            'answer_moves',
            extra={
                'request': work.req.request_id,
                'replica': work.replica,
                'to': candidate.record.replica,
            },
        )
        return found

    def _may_send(self, work: Work, candidate: Candidate) -> bool:
        """Return whether a request may still be sent, after the wait for a place."""
        if self._crashes.is_quarantined(work, time.monotonic()):
            return False
        return self._placer.may_send(work, candidate.record)

    def _reserve(self, work: Work, candidate: Candidate) -> Reservation | None:
        """Wait for a place and connect; return None if either fails."""
        replica = candidate.record.replica
        grant: Grant | None = None
        is_reserved = False
        self._placement.add_request(replica, work.need, time.monotonic())
        try:
            if candidate.needs_place:
                grant = self._placer.acquire(work, candidate)
            if grant is None and candidate.needs_place:
                return None
            is_reserved = self._connects(work, candidate)
        finally:
            self._placement.remove_request(replica)
            if grant is not None and not is_reserved:
                self._places.release(grant, 0, ok=False)
        if not is_reserved:
            return None
        return Reservation(candidate=candidate, grant=grant)

    def _connects(self, work: Work, candidate: Candidate) -> bool:
        """Return whether the replica accepts a connection, which the pool keeps.

        A stream goes on there only with proof of its lifetime.
        """
        record = candidate.record
        try:
            conn = self._pool.open_another(record.address, CONNECT_TIMEOUT_S)
        except ConnectFailed as exc:
            self._placement.health.unreachable(record.replica, time.monotonic())
            logger.info(
                'hedge_unreachable',
                extra={
                    'request': work.req.request_id,
                    'replica': record.replica,
                    'reason': exc.reason,
                },
            )
            return False
        if work.stream_version is None:
            return True
        return self._continuations.await_proof(record, conn)

    def _release(self, found: Reservation) -> None:
        if found.grant is not None:
            self._places.release(found.grant, 0, ok=False)
