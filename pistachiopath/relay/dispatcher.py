"""Places a request, sends it, and sends it again where that is allowed."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..admission.retry_budget import RetryBudget
from ..errors.relay import TurnedAway
from .ended import Delivered, Lost, NotRun, TargetFailed
from .exchange_run import OTHER_REPLICA, ExchangeRun, may_resume

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission.retry_budget import RetryBudgetLimits
    from ..exchange.pool import ConnectionPool
    from ..exchange.server_connection import ServerConnection
    from ..routing.placement import Candidate, Placement
    from .crashes import Crashes
    from .dialect import Dialect
    from .ended import Ended
    from .placer import Placer
    from .places import Grant, Places
    from .work import Work

logger = logging.getLogger(__name__)

MAX_FAILURES = 5
MOVED = 'moved'
TRY_AGAIN_PAUSE_S = 0.02
MIN_LEFT_S = 0.03
FAILED_RETRY_S = 0.5


class Dispatcher:
    """Serves one request after the other, each in the greenlet that asks."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        pool: ConnectionPool,
        places: Places,
        placement: Placement,
        placer: Placer,
        budget_limits: RetryBudgetLimits,
        known_entries: Callable[[], int],
        crashes: Crashes,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._places = places
        self._placement = placement
        self._placer = placer
        self._budget_limits = budget_limits
        self._known_entries = known_entries
        self._crashes = crashes
        self._budgets: dict[str, RetryBudget] = {}

    def serve(self, conn: ServerConnection, work: Work) -> None:
        """Deliver an answer, or answer in the entry's own name."""
        self._budget(work).request(work.began_at)
        timeout = gevent.Timeout(work.left_s(time.monotonic()))
        with timeout:
            try:
                self._serve(conn, work)
            except gevent.Timeout as exc:
                if exc is not timeout:
                    raise
                self._time_out(conn, work)
            except TurnedAway as exc:
                if not work.may_have_run:
                    raise
                self._lose(conn, work, exc.reason)

    def _serve(self, conn: ServerConnection, work: Work) -> None:
        while True:
            ended = self._try_once(conn, work)
            if isinstance(ended, Delivered):
                work.outcome = 'delivered'
                return
            if self._goes_on(work, ended):
                continue
            self._give_up(conn, work, ended)
            return

    def _try_once(self, conn: ServerConnection, work: Work) -> Ended:
        """Place the request and carry out one exchange."""
        candidate = self._placer.choose(work)
        record = candidate.record
        work.tries += 1
        work.replica = record.replica
        self._placement.add_request(record.replica, work.need, time.monotonic())
        grant: Grant | None = None
        run: ExchangeRun | None = None
        ended: Ended | None = None
        try:
            if candidate.is_gated:
                grant = self._placer.acquire(work, candidate)
                if grant is None:
                    return NotRun(reason=MOVED, arrived=False)
            work.sends += 1
            run = ExchangeRun(
                conn=conn,
                work=work,
                record=record,
                dialect=self._dialect,
                pool=self._pool,
            )
            # Where the caller leaves or time runs out, nobody can tell.
            may_have_run = work.may_have_run
            work.may_have_run = True
            ended = run.run()
            work.may_have_run = may_have_run or not isinstance(ended, NotRun)
            return ended
        finally:
            self._placement.remove_request(record.replica)
            if grant is not None:
                first_ms = run.first_event_ms if run else 0
                ok = isinstance(ended, Delivered)
                self._places.release(grant, first_ms, ok=ok)
            if ended is not None:
                self._learn(work, candidate, ended)

    def _learn(self, work: Work, candidate: Candidate, ended: Ended) -> None:
        """Take in what an exchange says about its replica."""
        now = time.monotonic()
        replica = candidate.record.replica
        self._crashes.learn(work, candidate.record, ended, now)
        health = self._placement.health
        match ended:
            case Delivered():
                health.succeeded(replica, now)
                self._placement.memory.record_prompt(replica, work.req.parts, now)
            case NotRun(reason=reason, arrived=False) if reason != MOVED:
                health.unreachable(replica, now)
                self._pool.forget(candidate.record.address)
            case NotRun(reason=reason) if reason == OTHER_REPLICA:
                self._placer.ended(candidate.record, now)
            case TargetFailed() | Lost():
                health.failed(replica, now)
        if not isinstance(ended, Delivered):
            logger.info(
                'try_ended',
                extra={
                    'request': work.req.request_id,
                    'replica': replica,
                    'try': work.tries,
                    'ended': type(ended).__name__,
                    'reason': getattr(ended, 'reason', ''),
                    'status': ended.head.status
                    if isinstance(ended, TargetFailed)
                    else 0,
                },
            )

    def _goes_on(self, work: Work, ended: Ended) -> bool:
        """Tell whether the request may be sent again, and prepare for it."""
        now = time.monotonic()
        if isinstance(ended, NotRun) and ended.reason == MOVED:
            return True
        work.failures += 1
        if work.failures >= MAX_FAILURES or work.left_s(now) < MIN_LEFT_S:
            return False
        work.excluded.add(work.replica)
        if isinstance(ended, NotRun) and not ended.arrived:
            work.sends -= 1
            gevent.sleep(TRY_AGAIN_PAUSE_S)
            return True
        repeats = isinstance(ended, NotRun) or self._may_repeat(work, ended)
        return repeats and self._budget(work).take(now, self._known_entries())

    def _may_repeat(self, work: Work, ended: Ended) -> bool:
        route = work.admitted.route
        if not route.may_repeat or work.sends >= route.max_targets:
            return False
        if self._crashes.is_quarantined(work, time.monotonic()):
            return False
        delivered = isinstance(ended, Lost) and ended.delivered
        return may_resume(work) or not delivered

    def _give_up(self, conn: ServerConnection, work: Work, ended: Ended) -> None:
        """Answer a request that is not sent again."""
        if isinstance(ended, NotRun) and not work.may_have_run:
            raise TurnedAway(
                status=503, reason=ended.reason, retry_after_s=FAILED_RETRY_S
            )
        if isinstance(ended, TargetFailed) and not conn.has_begun:
            work.outcome = 'target_failed'
            work.status = ended.head.status
            headers = self._dialect.caller_headers(ended.head)
            conn.respond(ended.head.status, headers, ended.body)
            return
        self._lose(conn, work, getattr(ended, 'reason', ''))

    def _lose(self, conn: ServerConnection, work: Work, reason: str) -> None:
        """Answer a request that may have run, without any promise."""
        logger.info(
            'request_lost', extra={'request': work.req.request_id, 'reason': reason}
        )
        if conn.has_begun:
            work.outcome = 'broken_off'
            return
        work.outcome = 'lost'
        work.status = 502
        conn.respond(502, self._dialect.own_headers(work.req, None), b'')

    def _time_out(self, conn: ServerConnection, work: Work) -> None:
        """Answer a request whose time is over."""
        if conn.has_begun:
            work.outcome = 'timeout_broken_off'
            return
        if not work.may_have_run:
            raise TurnedAway(status=503, reason='timeout', retry_after_s=FAILED_RETRY_S)
        work.outcome = 'timeout'
        work.status = 504
        conn.respond(504, self._dialect.own_headers(work.req, None), b'')

    def _budget(self, work: Work) -> RetryBudget:
        service = work.admitted.service
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(limits=self._budget_limits)
            self._budgets[service] = budget
        return budget
