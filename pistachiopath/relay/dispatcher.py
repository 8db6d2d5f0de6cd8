"""Dispatch of requests to replicas, with retries."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..errors.relay import TurnedAway
from ..exchange.answer_memory import AnswerMemory
from ..streams.service_version import version_of
from ..util.arrivals import handle_arrivals
from .ended import Delivered, Lost, NotRun, TargetFailed
from .exchange_run import OTHER_REPLICA, UNPROVEN_LIFETIME, ExchangeRun
from .hedges import Hedges

if TYPE_CHECKING:
    from ..exchange.pool import ConnectionPool
    from ..exchange.server_connection import ServerConnection
    from ..lifetimes.continuations import Continuations
    from ..messages.directory import ReplicaRecord
    from ..routing.placement import Candidate, Placement
    from .crashes import Crashes
    from .dialect import Dialect
    from .ended import ExchangeResult
    from .notices import Notices
    from .placer import Placer
    from .places import Places
    from .retries import Retries
    from .rollout_link import CountedTry, RolloutLink
    from .stream_versions import StreamVersions
    from .work import Work

logger = logging.getLogger(__name__)

MAX_FAILURES = 5
# Reason of a try that ended before anything was sent, to choose another replica.
MOVED = 'moved'
# Reasons that tell nothing of the replica.
NOT_TRIED = frozenset({MOVED, UNPROVEN_LIFETIME})
UNREACHABLE_RETRY_PAUSE_S = 0.02
RECHOOSE_PAUSE_S = 0.005
# A request with less time left is not tried again.
MIN_REMAINING_S = 0.03
FAILURE_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Serves requests, each in the greenlet of its caller's connection."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        pool: ConnectionPool,
        places: Places,
        placement: Placement,
        placer: Placer,
        retries: Retries,
        crashes: Crashes,
        notices: Notices,
        versions: StreamVersions,
        continuations: Continuations,
        rollouts: RolloutLink | None = None,
    ) -> None:
        self._rollouts = rollouts
        self._answers = AnswerMemory()
        self._dialect = dialect
        self._pool = pool
        self._places = places
        self._placement = placement
        self._placer = placer
        self._retries = retries
        self._crashes = crashes
        self._notices = notices
        self._versions = versions
        self._continuations = continuations
        self._hedges = Hedges(
            placer=placer,
            places=places,
            placement=placement,
            pool=pool,
            crashes=crashes,
            retries=retries,
            continuations=continuations,
        )

    def serve(self, conn: ServerConnection, work: Work) -> None:
        """Deliver a target's answer, or an answer of the entry itself.

        Raises `TurnedAway` for a request that did not run.
        """
        self._retries.record_request(work)
        timeout = gevent.Timeout(work.remaining_s(time.monotonic()))
        with self._answers.hold() as work.held, timeout:
            try:
                self._serve(conn, work)
            except gevent.Timeout as exc:
                if exc is not timeout:
                    raise
                self._respond_timeout(conn, work)
            except TurnedAway as exc:
                if not work.may_have_run:
                    raise
                self._respond_lost(conn, work, exc.reason)

    def _serve(self, conn: ServerConnection, work: Work) -> None:
        while True:
            result = self._try_once(conn, work)
            if isinstance(result, Delivered):
                work.outcome = 'delivered'
                return
            if self._prepare_retry(work, result):
                continue
            self._respond_failed(conn, work, result)
            return

    def _try_once(self, conn: ServerConnection, work: Work) -> ExchangeResult:
        """Choose a replica, wait for a place and run one exchange.

        A request that leaves a silent replica has been given both before.
        """
        reservation, work.reservation = work.reservation, None
        candidate = reservation.candidate if reservation else self._choose(work)
        grant = reservation.grant if reservation else None
        record = candidate.record
        work.tries += 1
        work.replica = record.replica
        self._placement.add_request(record.replica, work.need, time.monotonic())
        run: ExchangeRun | None = None
        result: ExchangeResult | None = None
        counted: CountedTry | None = None
        try:
            if grant is None and candidate.needs_place:
                grant = self._placer.acquire(work, candidate)
                if grant is None:
                    # Gates in this process reply without a wait.
                    gevent.sleep(RECHOOSE_PAUSE_S)
                    return NotRun(reason=MOVED, arrived=False)
            if work.stream_version is not None:
                self._pool.drop_closed(record.address, time.monotonic())
            if not self._placer.may_send(work, record):
                gevent.sleep(RECHOOSE_PAUSE_S)
                return NotRun(reason=MOVED, arrived=False)
            self._crashes.check_send(work, time.monotonic())
            _check_time(work)
            work.sends += 1
            work.has_gate = candidate.is_gated
            self._versions.goes_on(work)
            if self._rollouts is not None:
                counted = self._rollouts.sent(work, record)
            run = self._new_run(conn, work, record)
            may_have_run = work.may_have_run
            result = run.run()
            work.may_have_run = may_have_run or not isinstance(result, NotRun)
            if isinstance(result, Lost) and work.start is not None:
                self._continuations.settle(work.start)
            return result
        finally:
            self._placement.remove_request(record.replica)
            if grant is not None:
                self._places.release(
                    grant,
                    run.first_event_ms if run else 0,
                    ok=isinstance(result, Delivered),
                    is_unproven=not self._is_proven(work),
                    is_failure=isinstance(result, TargetFailed | Lost),
                )
            if counted is not None:
                counted.ended(result, run.first_event_ms if run else 0)
            if result is not None:
                self._record_result(work, candidate, result)

    def _is_proven(self, work: Work) -> bool:
        """Return whether the version is proven that the gate was told of the stream."""
        if work.start is None:
            return True
        named = version_of(work.start.record)
        return self._continuations.version(work.start) == named

    def _choose(self, work: Work) -> Candidate:
        self._crashes.check(work, time.monotonic())
        return self._placer.choose(work)

    def _new_run(
        self, conn: ServerConnection, work: Work, record: ReplicaRecord
    ) -> ExchangeRun:
        return ExchangeRun(
            conn=conn,
            work=work,
            record=record,
            dialect=self._dialect,
            pool=self._pool,
            notices=self._notices,
            hedges=self._hedges,
            continuations=self._continuations,
            on_lived=self._crashes.run_lived,
            on_begun=self._versions.begun,
        )

    def _record_result(
        self, work: Work, candidate: Candidate, result: ExchangeResult
    ) -> None:
        """Update health, prompt memory and crash records of the replica."""
        now = time.monotonic()
        replica = candidate.record.replica
        self._crashes.record_result(work, candidate.record, result, now)
        health = self._placement.health
        match result:
            case Delivered():
                health.succeeded(replica, now)
                self._placement.memory.record_prompt(replica, work.req.parts, now)
            case NotRun(reason=reason, arrived=False) if reason not in NOT_TRIED:
                health.unreachable(replica, now)
                self._pool.forget(candidate.record.address)
            case NotRun(reason=reason) if reason == OTHER_REPLICA:
                self._placer.mark_superseded(candidate.record, now)
            case Lost() if work.reservation is not None:
                # Its silence was recorded when it began.
                pass
            case TargetFailed() | Lost():
                health.failed(replica, now)
        if _is_break(result):
            self._placer.doubt(candidate.record, now)
        if not isinstance(result, Delivered):
            logger.info(
                'try_ended',
                extra={
                    'request': work.req.request_id,
                    'replica': replica,
                    'try': work.tries,
                    'ran_ms': work.ran_ms(now),
                    'parts': work.req.part_ids,
                    'ended': type(result).__name__,
                    'reason': getattr(result, 'reason', ''),
                    'status': result.head.status
                    if isinstance(result, TargetFailed)
                    else 0,
                },
            )

    def _prepare_retry(self, work: Work, result: ExchangeResult) -> bool:
        """Prepare to send the request again; return False if it must not be."""
        now = time.monotonic()
        if isinstance(result, NotRun) and result.reason == MOVED:
            return True
        work.failures += 1
        work.excluded.add(work.replica)
        if work.reservation is not None:
            return True
        if work.failures >= MAX_FAILURES or work.remaining_s(now) < MIN_REMAINING_S:
            return False
        if isinstance(result, NotRun) and not result.arrived:
            work.sends -= 1
            gevent.sleep(UNREACHABLE_RETRY_PAUSE_S)
            return True
        if work.stream_version is not None:
            # A pause may have broken other connections too.
            handle_arrivals()
            if not self._versions.is_settled(work):
                return False
        is_allowed = isinstance(result, NotRun) or self._may_repeat(work, result)
        return is_allowed and self._retries.take_budget(work)

    def _may_repeat(self, work: Work, result: ExchangeResult) -> bool:
        delivered = isinstance(result, Lost) and result.delivered
        now = time.monotonic()
        return self._retries.may_repeat(work, delivered=delivered, now=now)

    def _respond_failed(
        self, conn: ServerConnection, work: Work, result: ExchangeResult
    ) -> None:
        """Answer a request that failed and is not sent again."""
        if isinstance(result, NotRun) and not work.may_have_run:
            raise TurnedAway(
                status=503, reason=result.reason, retry_after_s=FAILURE_RETRY_AFTER_S
            )
        if isinstance(result, TargetFailed) and not conn.has_begun:
            work.outcome = 'target_failed'
            work.status = result.head.status
            headers = self._dialect.caller_headers(result.head)
            conn.respond(result.head.status, headers, result.body)
            return
        self._respond_lost(conn, work, getattr(result, 'reason', ''))

    def _respond_lost(self, conn: ServerConnection, work: Work, reason: str) -> None:
        """Answer a request that may have run, without saying whether it did."""
        logger.info(
            'request_lost', extra={'request': work.req.request_id, 'reason': reason}
        )
        if conn.has_begun:
            work.outcome = 'broken_off'
            return
        work.outcome = 'lost'
        work.status = 502
        conn.respond(502, self._dialect.own_headers(work.req, None), b'')

    def _respond_timeout(self, conn: ServerConnection, work: Work) -> None:
        """Answer a request whose deadline has passed."""
        if conn.has_begun:
            work.outcome = 'timeout_broken_off'
            return
        if not work.may_have_run:
            raise TurnedAway(
                status=503, reason='timeout', retry_after_s=FAILURE_RETRY_AFTER_S
            )
        work.outcome = 'timeout'
        work.status = 504
        conn.respond(504, self._dialect.own_headers(work.req, None), b'')


def _check_time(work: Work) -> None:
    """Raise `TurnedAway` for a request whose time has passed, as in a standstill."""
    if not work.remaining_s(time.monotonic()):
        raise TurnedAway(
            status=503, reason='timeout', retry_after_s=FAILURE_RETRY_AFTER_S
        )


def _is_break(result: ExchangeResult) -> bool:
    """Return whether a connection broke or was refused."""
    if isinstance(result, NotRun):
        return not result.arrived and result.reason not in NOT_TRIED
    return isinstance(result, Lost) and result.broken_off
