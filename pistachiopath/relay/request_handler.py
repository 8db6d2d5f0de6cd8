"""Requests of callers at an entry, from the first byte read to the last sent."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from ..errors.exchange import BadHttp, CallerLeft, ServerStopping
from ..errors.relay import TurnedAway
from ..util.plain_text import shortened
from .attempts import EarlierAttempts
from .departure import stopping_refusal
from .work import Work, make_work

if TYPE_CHECKING:
    from ..exchange.request import HttpRequest
    from ..exchange.server_connection import ServerConnection
    from ..startup.waits import StartupWaits
    from ..telemetry.spans import Spans
    from .admitter import Admitter
    from .caller_request import CallerRequest
    from .crashes import Crashes
    from .departure import Departure
    from .dialect import Dialect
    from .dispatcher import Dispatcher
    from .request_log import RequestLog
    from .routes_in_force import RoutesInForce
    from .stream_versions import StreamVersions

logger = logging.getLogger(__name__)

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
FAILED_RETRY_AFTER_S = 0.5
STATUS_NOT_RUN = 503
STATUS_UNKNOWN_OUTCOME = 502


class RequestHandler:
    """Admits requests, has them served, and logs what became of them.

    Each request is handled in the greenlet of its caller's connection.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        routes: RoutesInForce,
        admitter: Admitter,
        departure: Departure,
        crashes: Crashes,
        versions: StreamVersions,
        dispatcher: Dispatcher,
        log: RequestLog,
        spans: Spans,
        startup: StartupWaits,
    ) -> None:
        self.in_flight = 0
        self._dialect = dialect
        self._routes = routes
        self._admitter = admitter
        self._departure = departure
        self._crashes = crashes
        self._versions = versions
        self._dispatcher = dispatcher
        self._log = log
        self._spans = spans
        self._startup = startup
        self._attempts = EarlierAttempts()

    def handle(self, conn: ServerConnection, http: HttpRequest) -> None:
        """Answer a request; raises `CallerLeft` if its caller has left."""
        self.in_flight += 1
        try:
            self._serve(conn, self._read(http))
        except BadHttp as exc:
            logger.warning(
                'bad_request',
                extra={
                    'request': shortened(http.header(self._dialect.request_id_header)),
                    'status': exc.status,
                    'reason': shortened(exc.reason),
                },
            )
            if conn.has_begun:
                raise CallerLeft from exc
            conn.respond(exc.status, [], b'')
        finally:
            self.in_flight -= 1

    def admit(self, req: CallerRequest, now: float) -> Work:
        """Return the state of a request; raises `TurnedAway` if it is refused."""
        self._departure.check_open()
        routes = self._startup.configuration(req, now)
        if routes is None:
            if self._startup.is_stopping:
                raise stopping_refusal()
            raise TurnedAway(
                status=503,
                reason='no_configuration',
                retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
            )
        # The request may have waited since `now`; an allowance is refilled until then.
        admitted = self._admitter.admit(req, routes, time.monotonic())
        spent_s = self._attempts.spent_s(req, admitted.route)
        return make_work(req, admitted, now, spent_s=spent_s)

    def _read(self, http: HttpRequest) -> CallerRequest:
        """Return the decoded request; raises `BadHttp`."""
        try:
            return self._dialect.read(http)
        except BadHttp:
            raise
        except Exception as exc:
            logger.exception('request_unreadable')
            raise BadHttp(status=STATUS_NOT_RUN, reason='unreadable') from exc

    def _serve(self, conn: ServerConnection, req: CallerRequest) -> None:
        started_at = time.monotonic()
        work: Work | None = None
        span = self._spans.begin('entry')
        try:
            work = self.admit(req, started_at)
            self._departure.check(work, started_at)
            self._crashes.check(work, started_at)
            self._versions.resolve(work)
            self._dispatcher.serve(conn, work)
            self._departure.record_run(work, time.monotonic())
            if work.outcome != 'delivered':
                self._attempts.failed(work.admitted.route)
            self._log.done(work, self._routes.version)
        except TurnedAway as exc:
            self._refuse(conn, req, work, exc, started_at)
        except ServerStopping:
            if work is None or not work.may_have_run:
                self._refuse(conn, req, work, stopping_refusal(), started_at)
            else:
                self._respond_unknown(conn, work, 'stop')
        except BadHttp:
            raise
        except CallerLeft:
            if work is not None:
                work.outcome = 'caller_left'
                self._log.done(work, self._routes.version)
            raise
        except Exception:
            logger.exception('request_failed', extra={'request': req.request_id})
            self._answer_failed(conn, req, work, started_at)
        finally:
            if work is not None:
                self._versions.ended(work)
            span.end()

    def _answer_failed(
        self,
        conn: ServerConnection,
        req: CallerRequest,
        work: Work | None,
        started_at: float,
    ) -> None:
        """Answer a request whose handling failed, unless it has its answer."""
        if conn.is_answered:
            return
        if work is not None and work.may_have_run:
            self._respond_unknown(conn, work, 'failure')
            return
        exc = TurnedAway(
            status=STATUS_NOT_RUN, reason='failed', retry_after_s=FAILED_RETRY_AFTER_S
        )
        self._refuse(conn, req, work, exc, started_at)

    def _respond_unknown(self, conn: ServerConnection, work: Work, cause: str) -> None:
        """Answer a request that may have run, without saying whether it did.

        An answer that has begun is left incomplete.
        """
        if conn.has_begun:
            work.outcome = f'{cause}_broken_off'
        else:
            work.outcome = f'{cause}_lost'
            work.status = STATUS_UNKNOWN_OUTCOME
            conn.respond(work.status, self._dialect.own_headers(work.req, None), b'')
        self._log.done(work, self._routes.version)

    def _refuse(
        self,
        conn: ServerConnection,
        req: CallerRequest,
        work: Work | None,
        exc: TurnedAway,
        started_at: float,
    ) -> None:
        """Answer a request that did not run; `work` is None if it was not admitted."""
        if work is not None:
            self._admitter.give_back(work.admitted)
            self._attempts.failed(work.admitted.route)
        headers = self._dialect.own_headers(req, exc.retry_after_s)
        conn.respond(exc.status, headers, b'')
        held_s = time.monotonic() - started_at
        self._log.turned_away(req, work, exc, held_s, self._routes.version)
