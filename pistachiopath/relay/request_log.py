"""Log line and metrics of each request that an entry answers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from .timing import timing

if TYPE_CHECKING:
    from ..errors.relay import TurnedAway
    from ..telemetry.metrics import Metrics
    from .caller_request import CallerRequest
    from .work import Work

logger = logging.getLogger(__name__)


class RequestLog:
    """Logs and counts requests when they end.

    `version` is the version of the configuration in force, 0 for none.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def done(self, work: Work, version: int) -> None:
        """Record a request that was admitted and served."""
        now = time.monotonic()
        route = work.admitted.route
        customer = work.admitted.customer
        first_s = max(0.0, work.first_event_at - work.started_at)
        self._count(work, now - work.started_at, first_s)
        logger.info(
            'request_done',
            extra={
                'request': work.req.request_id,
                'route': route.name,
                'customer': customer.name if customer else '',
                'cost': int(work.admitted.cost),
                'tier': work.admitted.tier,
                'outcome': work.outcome,
                'status': work.status,
                'replica': work.replica,
                'software_version': work.stream_version.version
                if work.stream_version
                else '',
                'sends': work.sends,
                'tries': work.tries,
                'waited_ms': int(work.waited_s * 1000),
                'first_ms': int(first_s * 1000),
                'total_ms': int((now - work.started_at) * 1000),
                'objective_ms': int(route.objective_s * 1000),
                'spent_ms': work.spent_ms,
                'timing': timing(work).value,
                'parts': work.req.part_ids,
                'version': version,
            },
        )

    def turned_away(
        self,
        req: CallerRequest,
        work: Work | None,
        exc: TurnedAway,
        held_s: float,
        version: int,
    ) -> None:
        """Record a request that the entry refused."""
        self._metrics.count('turned_away_total', reason=exc.reason)
        logger.info(
            'request_turned_away',
            extra={
                'request': req.request_id,
                'host': req.host,
                'path': req.http.path,
                'tier': work.admitted.tier if work else -1,
                'status': exc.status,
                'reason': exc.reason,
                'retry_after_s': exc.retry_after_s,
                'customer': exc.customer,
                'cost': int(exc.cost),
                'held_ms': int(held_s * 1000),
                'spent_ms': work.spent_ms if work else 0,
                'tries': work.tries if work else 0,
                'version': version,
            },
        )

    def _count(self, work: Work, total_s: float, first_s: float) -> None:
        route = work.admitted.route.name
        self._metrics.count('requests_total', outcome=work.outcome, route=route)
        self._metrics.count('timings_total', timing=timing(work).value, route=route)
        self._metrics.observe('request', total_s, route=route)
        self._metrics.observe('wait', work.waited_s, route=route)
        if work.first_event_at:
            self._metrics.observe('first_event', first_s, route=route)
