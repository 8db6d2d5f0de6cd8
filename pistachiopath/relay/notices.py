"""Acts on what replicas say of themselves in their answers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..exchange.answer import AnswerHead
    from ..messages.directory import ReplicaRecord
    from ..routing.replica_health import ReplicaHealth
    from ..telemetry.metrics import Metrics
    from .dialect import Dialect
    from .targets import Targets

logger = logging.getLogger(__name__)


class Notices:
    """Records that replicas leave, or ask for a backoff.

    Both hold for the lifetime that answered, in this entry only: a replica that
    states something false loses requests of the entries that it answered, and
    no others.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        targets: Targets,
        health: ReplicaHealth,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._targets = targets
        self._health = health
        self._metrics = metrics

    def record(self, request: str, record: ReplicaRecord, head: AnswerHead) -> None:
        """Take in the head of an answer of a replica."""
        notice = self._dialect.notice(head)
        if notice.is_empty:
            return
        now = time.monotonic()
        fields = {
            'request': request,
            'replica': record.replica,
            'born_ms': record.born_ms,
        }
        if notice.is_leaving and self._targets.mark_leaving(record, now):
            self._count('leaving')
            logger.info('replica_leaving', extra={**fields, 'source': 'answer'})
        if notice.backoff_s > 0:
            self._health.asked_for_backoff(
                record.replica, record.born_ms, notice.backoff_s, now
            )
            self._count('backoff')
            logger.info(
                'replica_backoff', extra={**fields, 'backoff_s': notice.backoff_s}
            )
        if notice.unreadable:
            self._count('unreadable')
            logger.warning(
                'replica_backoff_unreadable',
                extra={**fields, 'value': notice.unreadable},
            )

    def prune(self, now: float) -> None:
        """Log the backoffs that have ended."""
        for replica in self._health.take_ended_backoffs(now):
            logger.info('replica_backoff_ended', extra={'replica': replica})

    def _count(self, kind: str) -> None:
        self._metrics.count('replica_notices_total', kind=kind)
